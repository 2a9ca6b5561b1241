"""Requests that crash endpoints, known to all relays at once.

A relay that detects a crash reports it to all others, with the requests that were in
flight. A relay that misses this report gets the evidence from the coordinator, which
compares fingerprints with each relay's next report; one that starts without a
coordinator gets it from any other relay. So no single relay, nor the store, is needed
for all relays to know.
"""

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.crashes.crash_detector import CrashedEndpoint
from ebonydeal._internal.relay.peers.call_budget import CallBudget
from ebonydeal._internal.relay.peers.messages import CrashesMessage, ExchangeMessage
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun
from ebonydeal._internal.routing.crashes.crash_evidence import CrashEvidence
from ebonydeal._internal.routing.crashes.crash_key import CrashKey
from ebonydeal._internal.routing.crashes.crash_messages import (
    EvidenceMessage,
    ObservedCrash,
)
from ebonydeal._internal.routing.crashes.quarantine import (
    QuarantinedPartsKey,
    QuarantineStatus,
)
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.suspects")

CRASHES_PATH = "/relay/v1/crashes"
# Timeout of a report to another relay: one that misses it gets the evidence with its
# next exchange, half a second later.
_CALL_TIMEOUT_S = 0.4
_EXPIRY_INTERVAL_S = 1.0
# After a crash, each request and part that is served again changes the evidence: the
# changes of this interval are reported together.
_COLLECT_CHANGES_S = 0.05
# Data from endpoints is recorded for this long after a crash: no stream lasts longer.
_ACTIVITY_WINDOW_S = 60.0


class SuspectParts(NamedTuple):
    """Dependencies of `Suspects`; ``node`` is this relay's name."""

    evidence: CrashEvidence
    client: PeerClient
    budget: CallBudget
    metrics: Metrics
    clock: Clock
    node: str


class Suspects(SupervisedService):
    """Tracks suspected and quarantined requests, and stops runs of quarantined ones."""

    def __init__(self, parts: SuspectParts) -> None:
        super().__init__()
        self._parts = parts
        self._runs: dict[RequestTraits, set[asyncio.Timeout]] = {}
        self._suspect_counts: dict[str, int] = {}
        # New crashes, and those whose changes other relays don't know yet.
        self._unsent: asyncio.Queue[list[CrashKey]] = asyncio.Queue()
        self._changed: set[CrashKey] = set()
        self._has_changed = asyncio.Event()
        self._quarantined: set[str] = set()
        self._quarantined_parts: set[QuarantinedPartsKey] = set()
        # Fingerprint of the coordinator's evidence at the last exchange.
        self._coordinator_fingerprint = ""

    # --- for one request -----------------------------------------------------
    def status(self, traits: RequestTraits) -> QuarantineStatus:
        """Return whether a request is quarantined or suspected."""
        return self._parts.evidence.status(traits)

    def check(self, traits: RequestTraits) -> None:
        """Raise REQUEST_QUARANTINED for a request that crashes endpoints."""
        if self.status(traits) is QuarantineStatus.QUARANTINED:
            raise EbonydealError(ErrorKind.REQUEST_QUARANTINED, self._message(traits))

    def stopped_outcome(self, traits: RequestTraits) -> MayHaveRun | None:
        """Return the outcome of a run that was stopped by the quarantine, or None."""
        if self.status(traits) is not QuarantineStatus.QUARANTINED:
            return None
        return MayHaveRun(ErrorKind.REQUEST_QUARANTINED, self._message(traits))

    def _message(self, traits: RequestTraits) -> str:
        evidence = self._parts.evidence
        count = len(evidence.crashed_endpoints(traits))
        found = evidence.quarantining_parts(traits)
        if found is None:
            digest = traits.digest
            return f"{count} endpoints crashed under this request (digest {digest})."
        # Clients know the parts of a prompt by their order, operators by their digests.
        parts = " and ".join(
            f"{number} (digest {part})"
            for number, part in enumerate(traits.parts, 1)
            if part in found.parts
        )
        return f"{count} endpoints crashed under requests with prompt part {parts}."

    def suspects_at(self, endpoint_id: str) -> int:
        """Return how many suspects this relay has in flight at an endpoint."""
        return self._suspect_counts.get(endpoint_id, 0)

    @contextmanager
    def track_run(
        self, traits: RequestTraits, endpoint_id: str, limit: asyncio.Timeout
    ) -> Iterator[None]:
        """Make a run time out as soon as its request is quarantined."""
        runs = self._runs.setdefault(traits, set())
        runs.add(limit)
        suspect = self.status(traits) is QuarantineStatus.SUSPECT
        if suspect:
            self._suspect_counts[endpoint_id] = self.suspects_at(endpoint_id) + 1
        try:
            yield
        finally:
            runs.discard(limit)
            if not runs and self._runs.get(traits) is runs:
                del self._runs[traits]
            if suspect:
                self._release(endpoint_id)

    def _release(self, endpoint_id: str) -> None:
        remaining = self._suspect_counts[endpoint_id] - 1
        if remaining:
            self._suspect_counts[endpoint_id] = remaining
        else:
            del self._suspect_counts[endpoint_id]

    def record_success(self, traits: RequestTraits) -> None:
        """Record a success of a request."""
        if self._parts.evidence.record_success(traits, self._parts.clock.now()):
            self._on_change("itself")

    def record_activity(self, member: Member, sent_at: float) -> None:
        """Record data from an endpoint for a request sent at ``sent_at``."""
        evidence, now = self._parts.evidence, self._parts.clock.now()
        if now - evidence.last_crash > _ACTIVITY_WINDOW_S:
            return
        if evidence.record_activity(
            member.endpoint_id, member.incarnation, sent_at, now
        ):
            logger.warning("Endpoint lives after all.", endpoint=member.endpoint_id)
            self._on_change("itself")

    # --- crashes -----------------------------------------------------------------
    def record_crash(self, crashed: CrashedEndpoint) -> None:
        """Record a crash that this relay detected, and report it to all others."""
        parts, member = self._parts, crashed.member
        parts.metrics.count(Event.ENDPOINTS_CRASHED)
        observed = ObservedCrash(
            member.endpoint_id, member.incarnation, member.zone, parts.clock.now()
        )
        key = parts.evidence.record_crash(observed, crashed.requests)
        if key is not None:
            self._unsent.put_nowait([key])
            self._on_change("itself")

    def receive(self, message: CrashesMessage) -> dict[str, Any]:
        """Merge another relay's report of crashes."""
        now = self._parts.clock.now()
        if self._parts.evidence.merge(message["crashes"], now):
            self._on_change(str(message["node"]))
        return {}

    def _on_change(self, source: str) -> None:
        """Apply changed evidence: report it, and stop runs of quarantined requests."""
        evidence = self._parts.evidence
        unreported = evidence.take_unreported()
        if unreported:
            self._changed.update(unreported)
            self._has_changed.set()
        quarantined = {
            found.digest: found.endpoints for found in evidence.quarantined()
        }
        for digest in quarantined.keys() - self._quarantined:
            self._parts.metrics.count(Event.REQUESTS_QUARANTINED)
            logger.warning(
                "Request quarantined.",
                digest=digest,
                endpoints=quarantined[digest],
                told_by=source,
                stopped=self._stop_quarantined(),
            )
        for digest in self._quarantined - quarantined.keys():
            logger.warning(
                "Request no longer quarantined.", digest=digest, told_by=source
            )
        self._quarantined = set(quarantined)
        self._on_parts_change(source)

    def _on_parts_change(self, source: str) -> None:
        quarantined = self._parts.evidence.quarantined_parts()
        for key in quarantined.keys() - self._quarantined_parts:
            self._parts.metrics.count(Event.PROMPT_PARTS_QUARANTINED)
            logger.warning(
                "Prompt parts quarantined.",
                parts=key.parts,
                accounts=key.accounts or "all",
                endpoints=quarantined[key],
                told_by=source,
                stopped=self._stop_quarantined(),
            )
        for key in self._quarantined_parts - quarantined.keys():
            logger.warning(
                "Prompt parts no longer quarantined.",
                parts=key.parts,
                accounts=key.accounts or "all",
                told_by=source,
            )
        self._quarantined_parts = set(quarantined)

    def _stop_quarantined(self) -> int:
        """Stop runs of quarantined requests, which would crash one more endpoint each.

        Returns how many were stopped.
        """
        now = asyncio.get_running_loop().time()
        stopped = 0
        for traits, runs in self._runs.items():
            if self.status(traits) is not QuarantineStatus.QUARANTINED:
                continue
            for limit in runs:
                if not limit.expired():
                    limit.reschedule(now)
                    stopped += 1
        return stopped

    @supervised_task
    async def _send_reports(self) -> None:
        while not self.should_stop:
            await self._send_to_others(await self._unsent.get(), with_requests=True)

    @supervised_task
    async def _send_changes(self) -> None:
        while not self.should_stop:
            await self._has_changed.wait()
            await self._parts.clock.sleep(_COLLECT_CHANGES_S)
            changed, self._changed = self._changed, set()
            self._has_changed.clear()
            await self._send_to_others(changed, with_requests=False)

    async def _send_to_others(
        self, keys: Iterable[CrashKey], with_requests: bool
    ) -> None:
        parts = self._parts
        addresses = parts.budget.pick_targets()
        if not addresses:
            return
        message = CrashesMessage(
            node=parts.node,
            crashes=parts.evidence.to_message(parts.clock.now(), keys, with_requests),
        )
        await asyncio.gather(*(self._send_report(a, message) for a in addresses))

    async def _send_report(self, address: str, message: CrashesMessage) -> None:
        try:
            await self._parts.client.call(
                address, CRASHES_PATH, message, _CALL_TIMEOUT_S
            )
        except EbonydealError as exc:
            logger.info("Crash report not delivered.", peer=address, reason=str(exc))

    @supervised_task
    async def _expire(self) -> None:
        while not self.should_stop:
            await self._parts.clock.sleep(_EXPIRY_INTERVAL_S)
            self._parts.evidence.expire(self._parts.clock.now())
            self._on_change("time")

    # --- exchange with other relays ------------------------------------------------
    @property
    def fingerprint(self) -> str:
        """A short text that is equal on relays that remember the same crashes."""
        return self._parts.evidence.fingerprint

    def to_message(self) -> EvidenceMessage:
        """Return all evidence of this relay."""
        return self._parts.evidence.to_message(self._parts.clock.now())

    def to_message_if_differs(self, fingerprint: str) -> EvidenceMessage | None:
        """Return all evidence, or None for a relay that has the same."""
        return None if fingerprint == self.fingerprint else self.to_message()

    def exchange_evidence(
        self, report: ExchangeMessage
    ) -> tuple[str, EvidenceMessage | None]:
        """Merge a relay's evidence; return our fingerprint, and ours if it differs."""
        self.merge(report.get("crashes"), report["node"])
        # A relay of the previous release sends no fingerprint, and reads no evidence.
        return self.fingerprint, self.to_message_if_differs(
            report.get("crashes_mark", self.fingerprint)
        )

    def evidence_for_coordinator(self) -> EvidenceMessage | None:
        """Return all evidence, or None if the coordinator has the same."""
        return self.to_message_if_differs(self._coordinator_fingerprint)

    def apply_reply(self, fingerprint: str, message: Any, source: str) -> None:
        """Merge the coordinator's evidence; None means that it is the same as ours."""
        self._coordinator_fingerprint = fingerprint
        self.merge(message, source)

    def merge(self, message: Any, source: str) -> None:
        """Merge a relay's evidence, or None; an unreadable message is ignored."""
        if message is None:
            return
        try:
            changed = self._parts.evidence.merge(message, self._parts.clock.now())
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            logger.error("Crash evidence is unreadable.", who=source, reason=repr(exc))
            return
        if changed:
            self._on_change(source)

    def report(self) -> list[dict[str, Any]]:
        """Return the quarantined requests and prompt parts, for operators."""
        evidence = self._parts.evidence
        requests = [
            {"digest": found.digest, "endpoints": list(found.endpoints)}
            for found in evidence.quarantined()
        ]
        parts = [
            {
                "parts": list(key.parts),
                "accounts": list(key.accounts),
                "endpoints": list(endpoints),
            }
            for key, endpoints in evidence.quarantined_parts().items()
        ]
        return requests + parts
