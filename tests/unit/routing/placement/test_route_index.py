from random import Random

from ebonydeal._internal.models.forwarding import (
    ClientLimits,
    ForwardAccount,
    Repeat,
    Route,
    RouteTable,
    Target,
)
from ebonydeal._internal.routing.placement.route_index import (
    RouteIndex,
    normalize_host,
    pick_service,
)

ONE = (Target("s", 1.0),)


def route(prefix, host="a.example", targets=ONE):
    return Route(
        prefix, host, prefix, Repeat.ONCE, 1.0, 0.5, 0, targets, 1, False, False,
        False, 0.0,
    )  # fmt: skip


def index(*routes, accounts=()):
    limits = ClientLimits(1, 1, 1.0, 1.0)
    return RouteIndex(RouteTable(1, routes, {}, limits, accounts))


class TestRoutes:
    def test_longest_prefix_of_the_host_matches(self):
        found = index(route("/a/"), route("/a/b/"), route("/a/", host="b.example"))
        assert found.route("a.example", "/a/b/c").prefix == "/a/b/"
        assert found.route("a.example", "/a/bc").prefix == "/a/"
        assert found.route("b.example", "/a/b/c").host == "b.example"

    def test_none_matches(self):
        found = index(route("/a/"))
        assert found.route("a.example", "/b/") is None
        assert found.route("a.example", "/a") is None
        assert found.route("c.example", "/a/") is None

    def test_root_matches_all(self):
        assert index(route("/")).route("A.EXAMPLE:8080", "/x") is not None

    def test_host_is_normalized(self):
        assert normalize_host("A.b:80") == "a.b"
        assert normalize_host("[::1]:80") == "[::1]"


class TestAccounts:
    def test_found_by_key(self):
        account = ForwardAccount("acme", ("k1", "k2"), None, 0, 0, False, 1)
        found = index(accounts=(account,))
        assert found.account("k2") == account
        assert found.account("k3") is None


class TestTrafficSplit:
    def test_services_are_drawn_by_weight(self):
        split = route("/", targets=(Target("a", 90.0), Target("b", 10.0)))
        rng = Random(1)
        picked = [pick_service(split, rng) for _ in range(1000)]
        assert 50 < picked.count("b") < 160

    def test_zero_weights_give_the_first(self):
        split = route("/", targets=(Target("a", 0.0), Target("b", 0.0)))
        assert pick_service(split, Random(1)) == "a"
