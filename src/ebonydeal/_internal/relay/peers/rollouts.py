"""A relay's part in roll-outs: applies gates, and reports bad answers at once."""

from collections.abc import Callable
from typing import Any

from ebonydeal._internal.models.rollouts import Phase, RolloutGate
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.peers.messages import RolloutsMessage
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.rollout.traffic_split import TrafficSplit
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.rollout")

# Minimum time between two extra reports of bad answers.
_MIN_REPORT_INTERVAL_S = 0.2
# The last field, the duration, is sent beside the gates.
_LISTED_GATE_FIELDS = len(RolloutGate._fields) - 1


def encode_gates(gates: list[RolloutGate], read_to: int) -> RolloutsMessage:
    """Return the message with gates; orders were read up to ``read_to``."""
    return RolloutsMessage(
        read_to=read_to,
        gates=[list(gate[:_LISTED_GATE_FIELDS]) for gate in gates],
        durations={gate.service: gate.duration for gate in gates},
    )


def _decode_gates(message: RolloutsMessage) -> list[RolloutGate]:
    """Return the gates of a message; raises ValueError or TypeError."""
    # Relays of the previous release don't send durations.
    durations = message.get("durations", {})
    return [_decode_gate(item, durations) for item in message["gates"]]


def _decode_gate(item: list[Any], durations: dict[str, float]) -> RolloutGate:
    service, to, revision, phase, shares, canaries, barred = item
    return RolloutGate(
        str(service),
        str(to),
        int(revision),
        Phase(phase),
        {str(route): float(share) for route, share in shares.items()},
        tuple(map(str, canaries)),
        tuple(map(str, barred)),
        float(durations.get(service, 0.0)),
    )


class RolloutReceiver(SupervisedService):
    """Applies gates, and has bad answers reported before the next regular report.

    Parameters
    ----------
    split : TrafficSplit
        Which version each request goes to.
    view : RelayView
        Gets the position up to which orders were read.
    clock : Clock
        Time.
    """

    def __init__(self, split: TrafficSplit, view: RelayView, clock: Clock) -> None:
        super().__init__()
        self._split = split
        self._view = view
        self._clock = clock
        # Sends a report to the coordinator now.
        self.report_now: Callable[[], None] = lambda: None

    def receive(self, message: RolloutsMessage) -> dict[str, Any]:
        """Apply gates, before the view admits endpoints that waited for them."""
        gates = _decode_gates(message)
        before = {gate.service: gate for gate in self._split.gates()}
        self._split.apply_gates(gates, self._clock.now())
        for gate in self._split.gates():
            known = before.get(gate.service)
            if known is None or _is_logged(known, gate):
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

    def receive_verdicts(self, message: RolloutsMessage) -> None:
        """Apply verdicts from a relay that doesn't decide: its shares may be stale."""
        self._split.apply_verdicts(_decode_gates(message))

    @supervised_task
    async def _report_bad_answers(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_MIN_REPORT_INTERVAL_S)
            if self._split.has_new_bad_answers(self._clock.now()):
                self.report_now()


def _is_logged(known: RolloutGate, gate: RolloutGate) -> bool:
    """Return whether the change of a gate is logged."""
    full = bool(known.shares) and min(known.shares.values()) >= 1.0
    is_full = bool(gate.shares) and min(gate.shares.values()) >= 1.0
    return (known.revision, known.phase, full) != (gate.revision, gate.phase, is_full)
