"""Owner of one shard: replay, serving, snapshots and hand-over.

All replies to callers depend on durable records only: the state is changed only by
rows that are known to have been written.
"""

import asyncio
from collections.abc import Callable, Sequence

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.appender import Appender, fenced_error
from ebonydeal._internal.journal.bodies import Bodies
from ebonydeal._internal.journal.claims import Claim, release_shard
from ebonydeal._internal.journal.fold import Phase, RequestState, apply_all
from ebonydeal._internal.journal.maintenance import ShardMaintenance
from ebonydeal._internal.journal.parts import OwnerParts
from ebonydeal._internal.journal.snapshots import Replayed, replay
from ebonydeal._internal.journal.status import StatusMessage, status_message
from ebonydeal._internal.models.records import (
    Accepted,
    Expired,
    Record,
    Unknown,
)
from ebonydeal._internal.models.requests import Request, StoredAnswer
from ebonydeal._internal.observe.counters import RetryReason, Timing
from ebonydeal._internal.observe.logs import get_logger

logger = get_logger("journal")

REPLAY_RETRY_DELAY_S = 0.5
MAINTENANCE_INTERVAL_S = 1.0
STORE_RETRY_DELAY_S = 1.0


class ShardOwner(Service):
    """Owns one shard for one epoch.

    Parameters
    ----------
    claim : Claim
        The claim that took effect.
    parts : OwnerParts
        Shared clients and settings.
    on_lost : callable
        Called once when this owner has stopped serving the shard.
    """

    def __init__(
        self, claim: Claim, parts: OwnerParts, on_lost: Callable[[int], None]
    ) -> None:
        super().__init__()
        self.claim = claim
        self.shard = claim.shard
        self.epoch = claim.epoch
        self.states: dict[str, RequestState] = {}
        self.serving = False
        self.draining = False
        self._lost = False
        self._claimed_at = parts.clock.now()
        self._parts = parts
        self._cfg = parts.cfg
        self._clock = parts.clock
        self._on_lost = on_lost
        self._bodies = Bodies(parts.objects, claim.shard, claim.epoch, parts.cfg)
        self._accepting: dict[str, asyncio.Task[None]] = {}
        self._final_events: dict[str, asyncio.Event] = {}
        self.maintenance = ShardMaintenance(
            claim,
            self.states,
            self._bodies,
            tables=parts.tables,
            objects=parts.objects,
            cfg=parts.cfg,
            clock=parts.clock,
            metrics=parts.metrics,
        )
        self._appender = self._new_appender(0)

    def _new_appender(self, seq: int) -> Appender:
        parts = self._parts
        return Appender(
            parts.tables,
            self.shard,
            self.epoch,
            seq,
            on_durable=self._on_durable,
            pacer=parts.pacer,
            cfg=parts.cfg,
            clock=parts.clock,
            rng=parts.rng,
            metrics=parts.metrics,
        )

    # --- life cycle ----------------------------------------------------------
    @Service.task
    async def _run_shard(self) -> None:
        """Replay, then write until fenced."""
        replayed = await self._replay()
        earlier = await self.maintenance.earlier_objects()
        self.open(replayed)
        self.add_future(self.maintenance.sweep(earlier, replayed.snapshot))
        await self._appender.run()
        self.stop_serving()

    async def _replay(self) -> Replayed:
        """Replay the shard, retrying until the stores respond."""
        while True:
            try:
                return await replay(self._parts.tables, self._parts.objects, self.shard)
            except EbonydealError as exc:
                logger.warning("Replay failed.", shard=self.shard, error=str(exc))
                await self._clock.sleep(REPLAY_RETRY_DELAY_S)

    def open(self, replayed: Replayed) -> None:
        """Start serving with the replayed state."""
        self.states.update(replayed.states)
        self.maintenance.snapshot_seq = replayed.snapshot_seq
        self._appender = self._new_appender(replayed.seq)
        self.serving = True
        interrupted: list[Record] = []
        for request_id, state in self.states.items():
            if state.is_final:
                continue
            if state.phase is Phase.DISPATCHED and not state.request.idempotent:
                why = "its owner changed while it may have been running"
                wall = self._clock.wall()
                interrupted.append(Unknown(request_id, state.attempt, why, wall))
            else:
                self._parts.metrics.count_retry(RetryReason.TAKEOVER)
                self._parts.dispatch.submit(self, request_id, may_have_run=True)
        if interrupted:
            self.add_future(self._append_ignoring_errors(interrupted))
        took = self._clock.now() - self._claimed_at
        self._parts.metrics.record_duration(Timing.TAKEOVER, took)
        logger.info(
            "Serving a shard.", shard=self.shard, epoch=self.epoch, rows=replayed.rows
        )

    async def _append_ignoring_errors(self, records: list[Record]) -> None:
        """Append records; errors are only logged."""
        try:
            await self._appender.append(records, urgent=True)
        except EbonydealError as exc:
            logger.warning(
                "Records were not written.", shard=self.shard, error=str(exc)
            )

    def stop_serving(self) -> None:
        """Stop serving at once: the shard has, or may have, another owner."""
        if self._lost:
            return
        self._lost = True
        self.serving = False
        self._appender.close()
        self._parts.dispatch.drop(self)
        for event in self._final_events.values():
            event.set()
        self._on_lost(self.shard)

    async def hand_over(self, timeout: float) -> bool:
        """Finish the runs, then release the shard; return whether it is free."""
        if self._lost or not self.serving:
            return False
        self.draining = True
        finished = await self._parts.dispatch.drain(self, timeout)
        self.serving = False
        timer = asyncio.ensure_future(self._clock.sleep(max(1.0, timeout)))
        flushed = asyncio.ensure_future(self._appender.flush())
        await asyncio.wait({timer, flushed}, return_when=asyncio.FIRST_COMPLETED)
        timer.cancel()
        clean = flushed.done() and finished and not self._appender.fenced.is_set()
        flushed.cancel()
        freed = clean and await release_shard(
            self._parts.tables, self.claim, self._clock
        )
        self.stop_serving()
        return freed

    # --- callers -----------------------------------------------------------------
    def _check_serving(self) -> None:
        if self._lost:
            raise EbonydealError(ErrorKind.WRONG_OWNER, owner="")
        if not self.serving:
            raise EbonydealError(ErrorKind.WRONG_OWNER, "The shard is changing owners.")

    async def accept(self, request: Request, urgent: bool = False) -> RequestState:
        """Return the request's state once its accepted record is durable.

        Repeating a request with the same id and body returns the state of the
        first. Raises ``KEY_REUSED`` for a different body, and what
        `Appender.append` raises.
        """
        self._check_serving()
        request_id = request.request_id
        if request_id not in self.states:
            if len(self.states) >= self._cfg.max_requests:
                raise EbonydealError(
                    ErrorKind.JOURNAL_BEHIND, "The shard holds too many requests."
                )
            task = self._accepting.get(request_id)
            if task is None:
                task = asyncio.ensure_future(self._append_accepted(request, urgent))
                self._accepting[request_id] = task
                task.add_done_callback(lambda _: self._accepting.pop(request_id, None))
            await asyncio.shield(task)
        state = self.states.get(request_id)
        if state is None:
            raise fenced_error(self.shard)
        if state.request.account != request.account:
            raise EbonydealError(ErrorKind.NOT_FOUND, "no such request")
        if state.request.body_digest != request.body_digest:
            raise EbonydealError(
                ErrorKind.KEY_REUSED, "The key was used with a different body."
            )
        return state

    async def _append_accepted(self, request: Request, urgent: bool) -> None:
        stored = await self._bodies.store_request(request)
        await self._appender.append(
            [Accepted(stored)],
            urgent=urgent,
            retain=False,
            max_wait=self._cfg.append_patience,
        )

    async def call(self, request: Request, wait: float) -> StatusMessage:
        """Accept a request, then wait up to ``wait`` seconds until it is final."""
        if self.draining and request.request_id not in self.states:
            raise EbonydealError(ErrorKind.DRAINING, "The shard is being handed over.")
        await self.accept(request, urgent=True)
        await self._wait_final(request.request_id, wait)
        return await self.status(request.request_id, request.account)

    async def _wait_final(self, request_id: str, wait: float) -> None:
        state = self.states.get(request_id)
        if state is None or state.is_final:
            return
        event = self._final_events.setdefault(request_id, asyncio.Event())
        waits = {
            asyncio.ensure_future(self._clock.sleep(wait)),
            asyncio.ensure_future(event.wait()),
        }
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for fut in waits:
                fut.cancel()

    def _visible(self, request_id: str, account: str) -> RequestState:
        state = self.states.get(request_id)
        if state is None or state.request.account != account:
            raise EbonydealError(ErrorKind.NOT_FOUND, "no such request")
        return state

    async def status(self, request_id: str, account: str) -> StatusMessage:
        """Return a request's durable state; NOT_FOUND for another account's request."""
        self._check_serving()
        pending = self._accepting.get(request_id)
        if pending is not None:
            await asyncio.wait({pending})
            self._check_serving()
        state = self._visible(request_id, account)
        if state.answer is None:
            return status_message(state, None)
        try:
            answer = await self._bodies.load_answer(state.answer)
        except EbonydealError as exc:
            # The request has run, so the error must not mean "not run".
            raise EbonydealError(
                ErrorKind.STORE_IN_DOUBT, "The answer is stored but can't be read now."
            ) from exc
        return status_message(state, answer)

    async def cancel(self, request_id: str, account: str) -> StatusMessage:
        """Cancel a request that is not final, and return its status."""
        self._check_serving()
        if not self._visible(request_id, account).is_final:
            await self._parts.dispatch.cancel(self, request_id)
        return await self.status(request_id, account)

    # --- called by the dispatcher --------------------------------------------------
    def state(self, request_id: str) -> RequestState | None:
        """Return the durable state of a request."""
        return self.states.get(request_id)

    async def append(self, records: Sequence[Record], urgent: bool) -> None:
        """Return once ``records`` are durable; raises FENCED."""
        await self._appender.append(records, urgent=urgent)

    async def load_request_body(self, request: Request) -> str:
        """Return a request's body; raises the store's errors."""
        return await self._bodies.load_request_body(request)

    async def store_answer(self, request_id: str, answer: StoredAnswer) -> StoredAnswer:
        """Return an answer as it goes into a record, retrying until it is stored."""
        while True:
            try:
                return await self._bodies.store_answer(request_id, answer)
            except EbonydealError:
                await self._clock.sleep(STORE_RETRY_DELAY_S)

    # --- durable rows ---------------------------------------------------------------
    def _on_durable(self, _seq: int, records: Sequence[Record]) -> None:
        """Apply a durable row and wake waiting callers."""
        for record in records:
            if isinstance(record, Expired):
                self.maintenance.collect_objects(record.request_id)
            apply_all(self.states, [record])
            if isinstance(record, Accepted):
                request_id = record.request.request_id
                if not self.states[request_id].is_final:
                    self._parts.dispatch.submit(self, request_id, may_have_run=False)
                continue
            state = self.states.get(record.request_id)
            if state is None or state.is_final:
                event = self._final_events.pop(record.request_id, None)
                if event is not None:
                    event.set()

    # --- maintenance ------------------------------------------------------------------
    @Service.task
    async def _maintain(self) -> None:
        """Expire requests and take snapshots at intervals."""
        while not self.should_stop and not self._lost:
            await self._clock.sleep(MAINTENANCE_INTERVAL_S)
            if not self.serving:
                continue
            try:
                await self.maintenance.expire(self._appender)
                await self.maintenance.snapshot_if_due(self._appender.seq)
            except EbonydealError as exc:
                logger.warning(
                    "Shard maintenance failed.", shard=self.shard, error=str(exc)
                )
