from ebonydeal._internal.gateway.endpoint_health import EndpointHealth
from ebonydeal._internal.models.endpoints import LoadReport
from tests.lib.gateway_fakes import view

NOW = 1000.0


def reporting(name: str, at: float):
    return view(name)._replace(load=LoadReport(0, 0, 8, 0.0, 50.0, at))


class TestEndpointHealth:
    def test_last_result_counts_until_it_expires(self):
        health = EndpointHealth(30.0)
        health.record_success(view("e"), NOW)
        assert health.is_working(view("e"), NOW + 30.0)
        assert not health.is_working(view("e"), NOW + 31.0)
        health.record_failure(view("e"), NOW + 1.0)
        assert not health.is_working(view("e"), NOW + 1.0)

    def test_load_report_counts_without_a_result(self):
        health = EndpointHealth(30.0)
        assert not health.is_working(view("e"), NOW)
        assert health.is_working(reporting("e", NOW - 10.0), NOW)
        assert not health.is_working(reporting("e", NOW - 20.0), NOW)

    def test_load_report_does_not_override_a_failure(self):
        health = EndpointHealth(30.0)
        health.record_failure(view("e"), NOW)
        assert not health.is_working(reporting("e", NOW + 5.0), NOW + 5.0)

    def test_new_incarnation_has_no_result(self):
        health = EndpointHealth(30.0)
        health.record_failure(view("e"), NOW)
        assert health.is_working(reporting("e", NOW)._replace(incarnation=2), NOW)

    def test_avoided_endpoints_do_not_count(self):
        health = EndpointHealth(30.0)
        health.record_success(view("e"), NOW)
        views = (view("e"), view("f"))
        assert health.any_working(views, set(), NOW)
        assert not health.any_working(views, {("e", 1)}, NOW)
