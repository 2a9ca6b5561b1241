"""Status pages: state of deployments, and sources that are unavailable."""

from ebonydeal._internal.config.peer_routes import EXPLAIN_PATH, STATUS_PATH
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.outside.interfaces import Put
from ebonydeal._internal.peers.membership import Member, MemberStatus


def view(number, zone, state=EndpointState.READY):
    return EndpointView(
        endpoint_id=f"e{number}",
        incarnation=1,
        kind=EndpointKind.ENGINE,
        address=f"127.0.0.1:{9000 + number}",
        place=Place("de-cymru", zone),
        deployment="kitchen",
        models=("covers-13b",),
        state=state,
        reclaimable=True,
        evict_per_hour=0.1,
        price_per_hour=0.5,
    )


def member(name, role="gateway"):
    return Member(
        name, 1, 0, MemberStatus.ALIVE, f"{name}:1", "de-cymru", "de-cymru-1", (role,)
    )


def status_message(version, **counts):
    return {
        "version": version,
        "spread_s": 1.5,
        "refusals": counts.get("refusals", {}),
        "retries": counts.get("retries", {}),
        "events": {},
    }


class TestStatus:
    async def test_endpoints_by_zone_and_price(self, filled):
        await filled.follower.refresh()
        filled.instances.views = [
            view(1, "de-cymru-1"),
            view(2, "de-cymru-2"),
            view(3, "de-cymru-2", EndpointState.LEAVING),
        ]
        status = await filled.parts.status.read()
        kitchen = {item.name: item for item in status.deployments}["kitchen"]
        assert [(z.zone, z.ready, z.leaving) for z in kitchen.zones] == [
            ("de-cymru-1", 1, 0),
            ("de-cymru-2", 1, 1),
            ("de-cymru-3", 0, 0),
        ]
        assert (kitchen.ready, kitchen.price_per_hour) == (2, 1.5)
        assert status.missing == []

    async def test_counters_are_added_up_over_processes(self, filled):
        await filled.follower.refresh()
        filled.peers.known_members = [member("g1"), member("g2"), member("g3")]
        filled.client.answers = {
            ("g1:1", STATUS_PATH): status_message(
                1, refusals={"shed": 3, "queue_full": 1}
            ),
            ("g2:1", STATUS_PATH): status_message(
                0, refusals={"shed": 2}, retries={"hedge": 7}
            ),
        }
        status = await filled.parts.status.read()
        assert status.refusals == {"shed": 5, "queue_full": 1}
        assert status.retries == {"hedge": 7}
        assert [(p.id, p.version) for p in status.processes] == [
            ("g1", 1),
            ("g2", 0),
            ("g3", None),
        ]

    async def test_malformed_answer_counts_as_no_answer(self, filled):
        filled.peers.known_members = [member("g1")]
        filled.client.answers = {("g1:1", STATUS_PATH): {"version": "x"}}
        status = await filled.parts.status.read()
        assert [p.version for p in status.processes] == [None]

    async def test_page_names_unavailable_sources(self, filled):
        filled.instances.down = True
        browser = await filled.browser("nia")
        page = await browser.get("/")
        assert browser.status == 200
        assert "instance list: the list is down" in page.text
        assert "kitchen" in page.text

    async def test_trail_is_shown_newest_first(self, filled):
        for number, at in enumerate((100.0, 300.0, 200.0)):
            row = {
                "at": at,
                "kind": "started",
                "deployment": "kitchen",
                "why": f"w{at}",
            }
            await filled.tables.transact([], [Put(f"trail/kitchen:{number:04d}", row)])
        status = await filled.parts.status.read()
        assert [row["at"] for row in status.trail] == [300.0, 200.0, 100.0]
        browser = await filled.browser("nia")
        page = await browser.get("/")
        assert page.text.index("w300.0") < page.text.index("w100.0")

    async def test_malformed_rows_do_not_break_the_page(self, filled):
        rows = [
            Put("spend/kitchen", {"deployment": "kitchen", "total": 1234.5}),
            Put("spend/paperwork", {"deployment": "paperwork", "total": "much"}),
            Put("trail/kitchen:0000", {"at": "never", "kind": "lost", "why": "w"}),
        ]
        await filled.tables.transact([], rows)
        browser = await filled.browser("nia")
        page = await browser.get("/")
        assert browser.status == 200
        assert "1,234.50" in page.text
        assert "? lost" in page.text


class TestExplain:
    async def test_shows_steps_of_the_gateway_that_has_them(self, filled):
        filled.peers.known_members = [
            member("g1"),
            member("g2"),
            member("j1", "journal"),
        ]
        steps = [
            {"at": 2.0, "step": "answered", "what": {}},
            {"at": 1.0, "step": "scored", "what": {"endpoint": "e1"}},
        ]
        filled.client.answers = {("g2:1", EXPLAIN_PATH): {"steps": steps}}
        browser = await filled.browser("nia")
        page = await browser.get("/explain?id=r-0001-2")
        assert page.text.index("scored") < page.text.index("answered")

    async def test_unknown_request_is_reported(self, filled):
        browser = await filled.browser("nia")
        page = await browser.get("/explain?id=r-0001-2")
        assert "No gateway knows this request any more" in page.text
