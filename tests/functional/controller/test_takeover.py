import asyncio
from itertools import count

import pytest

from ebonydeal._internal.benchmarks.spend.simulated_platform import (
    AFTER,
    SimulatedDurations,
)
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from tests.lib.clock import settle
from tests.lib.controller_fakes import ControllerCluster, make_deployment, make_document

# Operations of the old leader at which a fault is injected while it replaces a
# zone, both before and after the operation takes effect.
OPERATIONS = ("transact", "get", "scan", "start", "stop", "order", "order_state")
SHORT_TIMES = SimulatedDurations(boot=5.0, load=5.0, list_lag=0.0)


class Fault:
    """Injects a fault at the ``step``-th call of a hook after being armed."""

    def __init__(self, step: int, kind: str) -> None:
        self.step = step
        self.kind = kind
        self.calls = 0
        self.armed = False
        self.triggered = False
        self.resume = asyncio.Event()

    async def __call__(self, when: str, operation: str) -> None:
        if self.triggered:
            await self.hang()
        if not self.armed or operation not in OPERATIONS:
            return
        self.calls += 1
        if self.calls != self.step:
            return
        self.triggered = True
        if self.kind == "lose" and when == AFTER:
            raise EbonydealError(ErrorKind.STORE_IN_DOUBT, "response lost")
        if self.kind == "lose":
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, "request not sent")
        await self.hang()

    async def hang(self) -> None:
        if self.kind in ("kill", "pause"):
            await self.resume.wait()


class ZoneReplacement:
    """A leader replaces a zone, a fault is injected, and another takes over."""

    def __init__(self, step: int, kind: str, checks_fence: bool = True) -> None:
        self.cluster = ControllerCluster(checks_fence=checks_fence, times=SHORT_TIMES)
        self.fault = Fault(step, kind)
        item = make_deployment(min_replicas=2, checks_fence=checks_fence)
        self.cluster.document = make_document(item)
        self.cluster.world.nodes = [("n1", "n1:1"), ("n2", "n2:1")]

    async def run(self) -> None:
        cluster, fault = self.cluster, self.fault
        old = cluster.controller("n1", fault, cluster.document)
        new = cluster.controller("n2")
        await cluster.rounds(old, 6)
        assert cluster.ready() == 3
        cluster.world.announce_reclaim("z1", 30.0)
        cluster.world.refused_markets.add(("z1", True))
        fault.armed = True
        hanging = await self.run_until_triggered(old)
        fault.armed = False
        cluster.world.stop_zone("z1")
        if hanging is None:
            await cluster.rounds(old, 12)
            return
        # Orders that the old leader may still send are now obsolete.
        changed = cluster.document.deployments["kitchen"]._replace(adapters=("welsh",))
        cluster.document = make_document(changed)
        await cluster.rounds(new, 12)
        if fault.kind == "kill":
            hanging.cancel()
        else:
            fault.resume.set()
            await settle(100)
            assert hanging.done()
            for _ in range(6):
                await cluster.rounds(old, 1, 0.0)
                await cluster.rounds(new, 1)
        await cluster.rounds(new, 8)

    async def run_until_triggered(self, old) -> asyncio.Future | None:
        """Run the old leader; return its task if it hangs, else None."""
        for _ in range(12):
            task = asyncio.ensure_future(self.cluster.rounds(old, 1, 0.0))
            for _ in range(20):
                await settle()
                if task.done():
                    break
            if not task.done():
                return task
            await self.cluster.clock.advance(5.0)
        return None

    def check(self) -> None:
        cluster = self.cluster
        live = cluster.world.live()
        recorded = {row["token"]: row["state"] for row in cluster.instance_rows()}
        assert {item.token: "ready" for item in live} == recorded
        zones = sorted(item.offer.zone for item in live)
        assert zones == ["z2", "z2", "z3", "z3"]
        assert cluster.ready() == 4
        # Three at first and two replacements; no instance is started twice.
        assert cluster.world.starts == 5
        epoch = cluster.table.rows["leases/controller-kitchen"].value["epoch"]
        assert epoch == (1 if self.fault.kind == "lose" else 2)
        wanted = ("covers",) if epoch == 1 else ("covers", "welsh")
        for item in live:
            assert item.order.models == wanted
            assert item.order.fence == epoch or not cluster.world.checks_fence


async def inject_at_every_step(kind: str, checks_fence: bool) -> int:
    """Inject the fault at each step in turn; return the number of steps."""
    for step in count(1):
        case = ZoneReplacement(step, kind, checks_fence)
        await case.run()
        if not case.fault.triggered:
            return step - 1
        try:
            case.check()
        except AssertionError as exc:
            raise AssertionError(f"step {step}: {exc}") from exc
    return 0


class TestTakeover:
    @pytest.mark.parametrize("checks_fence", [True, False])
    @pytest.mark.parametrize("kind", ["kill", "pause", "lose"])
    async def test_fault_at_any_step_leaks_or_duplicates_no_instance(
        self, kind, checks_fence
    ):
        assert await inject_at_every_step(kind, checks_fence) > 50
