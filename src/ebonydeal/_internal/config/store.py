"""Atomic commits of documents: one winner per version, no proposal applied twice."""

import json
import random
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success
from xxhash import xxh3_64_hexdigest

from ebonydeal._internal.config.delta import (
    Difference,
    apply,
    compute_delta,
    differences,
    join,
    split,
)
from ebonydeal._internal.config.problems import Problem
from ebonydeal._internal.config.references import price_problems
from ebonydeal._internal.config.rows import (
    EMPTY_CONTENT,
    HEAD_KEY,
    Content,
    VersionInfo,
    item_key,
    read_content,
    read_head,
    read_version,
    read_versions,
    version_key,
)
from ebonydeal._internal.config.validate import validate
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import (
    Condition,
    Delete,
    FieldEquals,
    Offer,
    Put,
    RowAbsent,
    Tables,
    Write,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import new_token

logger = get_logger("config")

_MAX_COMMIT_ATTEMPTS = 6
_RETRY_DELAY_S = 0.25
_MAX_HISTORY = 10_000


class Conflict(NamedTuple):
    """Rejection of a proposal, since the document has changed after it was read.

    Attributes
    ----------
    base, head : int
        The version that the proposal is based on, and the one in force.
    versions : tuple of VersionInfo
        The versions accepted since then, with author, time and change.
    differences : tuple of Difference
        Changes from base to head, for operators.
    """

    base: int
    head: int
    versions: tuple[VersionInfo, ...]
    differences: tuple[Difference, ...]


Refusal = Conflict | list[Problem]


class ConfigStore:
    """Proposes and reads documents in the table service.

    Parameters
    ----------
    tables : Tables
        The platform's table service.
    clock : Clock
        For times of versions and waits between attempts.
    rng : random.Random
        For proposal ids and jitter.
    """

    def __init__(self, tables: Tables, clock: Clock, rng: random.Random) -> None:
        self._tables = tables
        self._clock = clock
        self._rng = rng

    def new_proposal(self) -> str:
        """Return a fresh proposal id."""
        return new_token("p", self._rng)

    async def propose(
        self,
        document: Any,
        base_version: int,
        by: str,
        note: str,
        *,
        offers: list[Offer] | None = None,
        proposal: str | None = None,
    ) -> Result[int, Refusal]:
        """Put a document in force if it is valid and the base is still the head.

        Parameters
        ----------
        document : Any
            The complete document.
        base_version : int
            The version it is based on; 0 for the first.
        by, note : str
            Author and reason, for the history.
        offers : list of Offer, optional
            For checking the feasibility of price ceilings.
        proposal : str, optional
            Proposal id. The same id with the same document is never applied twice;
            a repeat returns the version that it has become.

        Returns
        -------
        Result
            The version in force, a `Conflict`, or every problem found.

        Raises
        ------
        EbonydealError
            ``STORE_UNAVAILABLE``: this call changed nothing. ``STORE_IN_DOUBT``:
            it may have; repeat it with the same proposal id.
        """
        if isinstance(validate(document), Failure):
            return Failure(validate(document, offers).failure())
        bound_id = _bind_to_content(proposal or self.new_proposal(), document)
        if proposal and await self._is_own(base_version + 1, bound_id):
            return Success(base_version + 1)
        price_failures = price_problems(document, offers) if offers is not None else []
        if price_failures:
            return Failure(price_failures)
        content = await read_content(self._tables)
        if content.version != base_version:
            return Failure(await self._conflict(base_version))
        delta = compute_delta(content.items, split(document))
        if not delta:
            return Success(base_version)
        now = self._clock.wall()
        info = VersionInfo(base_version + 1, by, now, note, bound_id, delta)
        return await self._commit(info)

    async def _commit(self, info: VersionInfo) -> Result[int, Refusal]:
        """Write a version; return its outcome, or raise if that isn't known.

        Every attempt writes the same rows under the same conditions, so a lost attempt
        that is applied late and a repeat can't both take effect.
        """
        conditions, writes = _transaction(info)
        in_doubt = False
        failure = EbonydealError(ErrorKind.STORE_UNAVAILABLE, "no attempt was made")
        for attempt in range(_MAX_COMMIT_ATTEMPTS):
            if attempt:
                await self._clock.sleep(
                    _RETRY_DELAY_S * attempt * self._rng.uniform(0.5, 1)
                )
            try:
                if await self._tables.transact(conditions, writes):
                    return self._accepted(info)
                return await self._resolve_failed_conditions(info)
            except EbonydealError as exc:
                failure = exc
                in_doubt = in_doubt or exc.kind == ErrorKind.STORE_IN_DOUBT
                logger.warning("Commit attempt failed.", kind=str(exc.kind))
        if not in_doubt:
            raise failure
        raise EbonydealError(
            ErrorKind.STORE_IN_DOUBT,
            f"proposal {info.proposal} may have become version {info.version}; "
            "check the history, or repeat it with the same proposal id",
        )

    async def _resolve_failed_conditions(
        self, info: VersionInfo
    ) -> Result[int, Refusal]:
        """Return success if an earlier attempt was applied, else the conflict."""
        if await self._is_own(info.version, info.proposal):
            return self._accepted(info)
        return Failure(await self._conflict(info.version - 1))

    async def _is_own(self, version: int, proposal: str) -> bool:
        """Return whether this proposal has become this version."""
        winner = await read_version(self._tables, version)
        return winner is not None and winner.proposal == proposal

    def _accepted(self, info: VersionInfo) -> Result[int, Refusal]:
        """Log and return an accepted version."""
        logger.info("Accepted a version.", version=info.version, by=info.by)
        return Success(info.version)

    async def _conflict(self, base: int) -> Conflict:
        """Return the conflict with the versions accepted after ``base``."""
        head = await read_head(self._tables)
        versions = await read_versions(self._tables, base, head)
        found = await self.diff(base, head) if 0 <= base <= head else []
        return Conflict(base, head, tuple(versions), tuple(found))

    async def load(self, version: int | None = None) -> Content:
        """Return the content of a version, by default of the head.

        Raises ``NOT_FOUND`` for a version that was never accepted.
        """
        if version is None:
            return await read_content(self._tables)
        if version == 0:
            return EMPTY_CONTENT
        infos = await read_versions(self._tables, 0, version, version)
        if version < 0 or not infos or infos[-1].version != version:
            raise EbonydealError(ErrorKind.NOT_FOUND, f"no version {version}")
        items = EMPTY_CONTENT.items
        for info in infos:
            items = apply(items, info.delta)
        return Content(version, items)

    async def version(self, version: int) -> VersionInfo:
        """Return one accepted version; raises ``NOT_FOUND``."""
        info = await read_version(self._tables, version) if version > 0 else None
        if info is None:
            raise EbonydealError(ErrorKind.NOT_FOUND, f"no version {version}")
        return info

    async def history(self, limit: int = _MAX_HISTORY) -> list[VersionInfo]:
        """Return the last ``limit`` versions, newest first."""
        head = await read_head(self._tables)
        infos = await read_versions(self._tables, max(0, head - limit), head, limit)
        return infos[::-1]

    async def diff(self, a: int, b: int) -> list[Difference]:
        """Return the differences from version ``a`` to ``b``, for operators."""
        old = await self.load(a)
        new = await self.load(b)
        return differences(old.items, new.items)

    async def roll_forward(
        self,
        to_content_of: int,
        base_version: int,
        by: str,
        note: str = "",
        *,
        offers: list[Offer] | None = None,
        proposal: str | None = None,
    ) -> Result[int, Refusal]:
        """Put an older version's content in force as a new version."""
        old = await self.load(to_content_of)
        text = note or f"content of version {to_content_of}"
        return await self.propose(
            join(old.items), base_version, by, text, offers=offers, proposal=proposal
        )


def _bind_to_content(proposal: str, document: dict[str, Any]) -> str:
    """Return the id with a hash of the content, so other content is no repeat."""
    text = json.dumps(document, sort_keys=True, ensure_ascii=False)
    return f"{proposal}.{xxh3_64_hexdigest(text.encode())}"


def _transaction(info: VersionInfo) -> tuple[list[Condition], list[Write]]:
    """Return the conditions and writes that put a version in force."""
    base = info.version - 1
    at_base: Condition = FieldEquals(HEAD_KEY, "version", base)
    if base == 0:
        at_base = RowAbsent(HEAD_KEY)
    writes: list[Write] = [
        Put(item_key(key), {"version": info.version, "value": value})
        for key, value in info.delta.changed.items()
    ]
    writes += [Delete(item_key(key)) for key in info.delta.removed]
    writes.append(Put(version_key(info.version), info.to_row()))
    writes.append(Put(HEAD_KEY, {"version": info.version}))
    return [at_base, RowAbsent(version_key(info.version))], writes
