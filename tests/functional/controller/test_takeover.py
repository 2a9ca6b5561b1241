import asyncio
from itertools import count

import pytest

from ebonydeal._internal.benchmarks.spend.world import AFTER, WorldTimes
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from tests.lib.clock import settle
from tests.lib.controller_fakes import ControllerCluster, make_deployment, make_document

# Every call of the old leader while it replaces a zone, before and after it
# takes effect.
OPERATIONS = ("transact", "get", "scan", "start", "stop", "order", "order_state")
QUICK = WorldTimes(boot=5.0, load=5.0, list_lag=0.0)


class Fault:
    """Strikes at the ``step``-th passing of a hook, once armed."""

    def __init__(self, step: int, kind: str) -> None:
        self.step = step
        self.kind = kind
        self.seen = 0
        self.armed = False
        self.struck = False
        self.go_on = asyncio.Event()

    async def __call__(self, when: str, operation: str) -> None:
        if self.struck:
            await self.block()
        if not self.armed or operation not in OPERATIONS:
            return
        self.seen += 1
        if self.seen != self.step:
            return
        self.struck = True
        if self.kind == "lose" and when == AFTER:
            raise EbonydealError(ErrorKind.STORE_IN_DOUBT, "lost answer")
        if self.kind == "lose":
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, "not sent")
        await self.block()

    async def block(self) -> None:
        if self.kind in ("kill", "pause"):
            await self.go_on.wait()


class Replacement:
    """A leader replaces a zone; a fault strikes it; another takes over."""

    def __init__(self, step: int, kind: str, checks_fence: bool = True) -> None:
        self.site = ControllerCluster(checks_fence=checks_fence, times=QUICK)
        self.fault = Fault(step, kind)
        item = make_deployment(min_replicas=2, checks_fence=checks_fence)
        self.site.document = make_document(item)
        self.site.world.nodes = [("n1", "n1:1"), ("n2", "n2:1")]

    async def run(self) -> None:
        site, fault = self.site, self.fault
        old = site.controller("n1", fault, site.document)
        new = site.controller("n2")
        await site.rounds(old, 6)
        assert site.ready() == 3
        site.world.reclaim_zone("z1", 30.0)
        site.world.full.add(("z1", True))
        fault.armed = True
        stuck = await self.until_struck(old)
        fault.armed = False
        site.world.take_zone("z1")
        if stuck is None:
            await site.rounds(old, 12)
            return
        # What the old leader may still send is no longer what is wanted.
        wider = site.document.deployments["kitchen"]._replace(adapters=("welsh",))
        site.document = make_document(wider)
        await site.rounds(new, 12)
        if fault.kind == "kill":
            stuck.cancel()
        else:
            fault.go_on.set()
            await settle(100)
            assert stuck.done()
            for _ in range(6):
                await site.rounds(old, 1, 0.0)
                await site.rounds(new, 1)
        await site.rounds(new, 8)

    async def until_struck(self, old) -> asyncio.Future | None:
        """Run the old leader; return its task if it hangs."""
        for _ in range(12):
            task = asyncio.ensure_future(self.site.rounds(old, 1, 0.0))
            for _ in range(20):
                await settle()
                if task.done():
                    break
            if not task.done():
                return task
            await self.site.clock.advance(5.0)
        return None

    def check(self) -> None:
        site = self.site
        live = site.world.live()
        recorded = {row["token"]: row["state"] for row in site.instance_rows()}
        assert {item.token: "ready" for item in live} == recorded
        zones = sorted(item.offer.zone for item in live)
        assert zones == ["z2", "z2", "z3", "z3"]
        assert site.ready() == 4
        # Three at first, two in place of the lost zone, and never one twice.
        assert site.world.starts == 5
        epoch = site.rows.rows["leases/controller-kitchen"].value["epoch"]
        assert epoch == (1 if self.fault.kind == "lose" else 2)
        wanted = ("covers",) if epoch == 1 else ("covers", "welsh")
        for item in live:
            assert item.order.models == wanted
            assert item.order.fence == epoch or not site.world.checks_fence


async def every_step(kind: str, checks_fence: bool) -> int:
    """Strike at each step in turn; return the number of steps."""
    for step in count(1):
        case = Replacement(step, kind, checks_fence)
        await case.run()
        if not case.fault.struck:
            return step - 1
        try:
            case.check()
        except AssertionError as exc:
            raise AssertionError(f"step {step}: {exc}") from exc
    return 0


class TestTakeover:
    @pytest.mark.parametrize("checks_fence", [True, False])
    @pytest.mark.parametrize("kind", ["kill", "pause", "lose"])
    async def test_a_fault_at_any_step_leaks_and_doubles_nothing(
        self, kind, checks_fence
    ):
        assert await every_step(kind, checks_fence) > 50
