"""A relay's part in roll-outs: it hears gates, and tells bad answers at once."""

from collections.abc import Callable
from typing import Any

from mode import Service

from ebonydeal._internal.models.rollouts import Phase, RolloutGate
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.peers.messages import RolloutsMessage
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.rollout.split import Split
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.rollout")

# Bad answers are told together so often at most, seconds.
_TELL_S = 0.2


def gates_message(gates: list[RolloutGate], read_to: int) -> RolloutsMessage:
    """Return gates as they are told, and how far orders were read."""
    return RolloutsMessage(read_to=read_to, gates=[list(gate) for gate in gates])


def _gate(item: list[Any]) -> RolloutGate:
    """Return a gate as it was told; raises ValueError, TypeError or IndexError."""
    service, to, revision, phase, shares, canaries, barred = item
    return RolloutGate(
        str(service),
        str(to),
        int(revision),
        Phase(phase),
        {str(route): float(share) for route, share in shares.items()},
        tuple(map(str, canaries)),
        tuple(map(str, barred)),
    )


class RolloutHearer(Service):
    """Takes gates, and has bad answers told before the next exchange.

    Parameters
    ----------
    split : Split
        Which version each request goes to.
    view : RelayView
        Learns how far orders were read.
    clock : Clock
        Time.
    """

    def __init__(self, split: Split, view: RelayView, clock: Clock) -> None:
        super().__init__()
        self._split = split
        self._view = view
        self._clock = clock
        # Makes an exchange with the coordinator now.
        self.hasten: Callable[[], None] = lambda: None

    def take(self, message: RolloutsMessage) -> dict[str, Any]:
        """Take gates; they are in force before endpoints that waited for them."""
        gates = [_gate(item) for item in message["gates"]]
        before = {gate.service: gate for gate in self._split.gates()}
        self._split.told(gates, self._clock.now())
        for gate in self._split.gates():
            known = before.get(gate.service)
            if known is None or _differs(known, gate):
                logger.info(
                    "Roll-out told.",
                    service=gate.service,
                    to=gate.target_version,
                    revision=gate.revision,
                    phase=str(gate.phase),
                    shares=gate.shares,
                    canaries=len(gate.canaries),
                    barred=gate.barred,
                )
        self._view.orders_read_to(int(message["read_to"]))
        return {}

    def learn(self, message: RolloutsMessage) -> None:
        """Take verdicts from a relay that doesn't decide: its shares may be old."""
        self._split.learn([_gate(item) for item in message["gates"]])

    @Service.task
    async def _tell_bad(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_TELL_S)
            if self._split.troubled(self._clock.now()):
                self.hasten()


def _differs(known: RolloutGate, gate: RolloutGate) -> bool:
    """Return whether a gate is worth a line."""
    full = bool(known.shares) and min(known.shares.values()) >= 1.0
    is_full = bool(gate.shares) and min(gate.shares.values()) >= 1.0
    return (known.revision, known.phase, full) != (gate.revision, gate.phase, is_full)
