"""Endpoints of a new version must get no requests before its orders are read."""

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import RolloutOrder
from ebonydeal._internal.relay.view.versions import KnownVersions
from ebonydeal._internal.relay.view.view import RelayView


def member(name, version, revision, service="s"):
    return Member(
        name, service, "1:1", "z", 8, False, None, False, 0.0, revision, version=version
    )


class TestKnownVersions:
    def test_the_first_listed_version_is_admitted_at_once(self):
        known = KnownVersions()
        assert not known.update_withheld([member("a", "v1", 50), member("b", "v1", 51)])

    def test_a_new_version_waits_for_orders_up_to_its_first_entry(self):
        known = KnownVersions()
        listed = [member("a", "v1", 50), member("b", "v1", 51)]
        known.update_withheld(listed)
        listed.append(member("c", "v2", 60))
        assert known.update_withheld(listed) == {"c"}
        known.read_up_to(59)
        assert known.update_withheld(listed) == {"c"}
        known.read_up_to(60)
        assert not known.update_withheld(listed)

    def test_a_later_heartbeat_does_not_extend_the_wait(self):
        known = KnownVersions()
        listed = [member("a", "v1", 50), member("c", "v1", 50)]
        known.update_withheld(listed)
        listed[1:] = [member("b", "v2", 60)]
        known.update_withheld(listed)
        listed[1] = member("b", "v2", 90)
        known.read_up_to(70)
        assert not known.update_withheld(listed)

    def test_versions_are_admitted_for_each_service_separately(self):
        known = KnownVersions()
        listed = [member("a", "v1", 1), member("b", "v2", 2, service="t")]
        assert not known.update_withheld(listed)

    def test_orders_of_an_older_read_are_ignored(self):
        known = KnownVersions()
        order = RolloutOrder("s", "v2", 10.0, 5)
        known.apply_orders({"s": order}, 9)
        known.apply_orders({}, 8)
        assert known.orders == {"s": order}

    def test_another_relays_progress_admits_endpoints_without_orders(self):
        known = KnownVersions()
        listed = [member("a", "v1", 50), member("b", "v1", 51)]
        known.update_withheld(listed)
        listed.append(member("c", "v2", 60))
        known.read_up_to(60)
        assert not known.update_withheld(listed)
        assert known.as_of == 0


class TestView:
    def build(self):
        view = RelayView(2.0)
        view.put(member("a", "v1", 50))
        view.put(member("c", "v1", 51))
        return view

    def test_a_new_version_gets_no_work_until_orders_are_read(self):
        view, asked = self.build(), []
        view.on_orders_needed = lambda: asked.append(True)
        view.put(member("b", "v2", 60))
        assert {m.endpoint_id for m in view.of_service("s")} == {"a", "c"}
        assert view.waits_for_orders and asked == [True]
        view.apply_orders({"s": RolloutOrder("s", "v2", 10.0, 58)}, 61, "store")
        assert {m.endpoint_id for m in view.of_service("s")} == {"a", "b", "c"}
        assert not view.waits_for_orders

    def test_many_endpoints_of_one_version_cost_one_check(self):
        view, checks = RelayView(2.0), []
        update_withheld = view.versions.update_withheld
        view.versions.update_withheld = lambda listed: (
            checks.append(1) or update_withheld(listed)
        )
        for number in range(500):
            view.put(member(f"e{number}", "v1", 50 + number))
        for number in range(100):
            view.remove(f"e{number}", 1000 + number)
        assert len(checks) == 1 and len(view.of_service("s")) == 400
        view.put(member("new", "v2", 2000))
        assert len(checks) == 2 and view.versions.first_listed("new") == 2000

    def test_orders_are_passed_on_only_when_they_change(self):
        view, notified = self.build(), []
        view.on_orders = notified.append
        order = RolloutOrder("s", "v2", 10.0, 58)
        view.apply_orders({"s": order}, 61, "store")
        view.apply_orders({"s": order}, 62, "store")
        view.apply_orders({}, 63, "store")
        assert notified == [{"s": order}, {}]
