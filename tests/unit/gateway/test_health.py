from ebonydeal._internal.gateway.health import Health
from ebonydeal._internal.models.endpoints import LoadReport
from tests.lib.gateway_fakes import view

NOW = 1000.0


def reporting(name: str, at: float):
    return view(name)._replace(load=LoadReport(0, 0, 8, 0.0, 50.0, at))


class TestHealth:
    def test_last_word_counts(self):
        health = Health(30.0)
        health.worked(view("e"), NOW)
        assert health.works(view("e"), NOW + 30.0)
        assert not health.works(view("e"), NOW + 31.0)
        health.failed(view("e"), NOW + 1.0)
        assert not health.works(view("e"), NOW + 1.0)

    def test_load_report_counts_for_want_of_a_word(self):
        health = Health(30.0)
        assert not health.works(view("e"), NOW)
        assert health.works(reporting("e", NOW - 10.0), NOW)
        assert not health.works(reporting("e", NOW - 20.0), NOW)

    def test_load_report_does_not_outweigh_a_failure(self):
        health = Health(30.0)
        health.failed(view("e"), NOW)
        assert not health.works(reporting("e", NOW + 5.0), NOW + 5.0)

    def test_new_incarnation_has_no_word(self):
        health = Health(30.0)
        health.failed(view("e"), NOW)
        assert health.works(reporting("e", NOW)._replace(incarnation=2), NOW)

    def test_any_but_the_avoided(self):
        health = Health(30.0)
        health.worked(view("e"), NOW)
        views = (view("e"), view("f"))
        assert health.any_works(views, set(), NOW)
        assert not health.any_works(views, {("e", 1)}, NOW)
