import random

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.peers.journal_client import JournalClient
from ebonydeal._internal.standin.memory import MemoryTables
from tests.lib.config_fakes import AutoAdvancingClock
from tests.lib.journal_fakes import make_keyed_call, make_request


class NoPeers:
    """Peers that are never called, since no shard has an owner."""


def client() -> JournalClient:
    return JournalClient(
        MemoryTables(),
        NoPeers(),  # type: ignore[arg-type]
        shards=1,
        retry_timeout=2.0,
        clock=AutoAdvancingClock(),
        rng=random.Random(1),
        metrics=Metrics(),
    )


class TestRefusals:
    async def test_refused_call_with_a_key_may_have_run_before(self):
        with pytest.raises(EbonydealError) as caught:
            await client().call(make_keyed_call(), 1.0)
        assert caught.value.kind is ErrorKind.JOURNAL_UNAVAILABLE
        assert caught.value.outcome is Outcome.UNKNOWN
        assert caught.value.to_body()["error"]["outcome"] == "unknown"

    async def test_refused_request_without_a_key_did_not_run(self):
        with pytest.raises(EbonydealError) as caught:
            await client().accept(make_request())
        assert caught.value.kind is ErrorKind.JOURNAL_UNAVAILABLE
        assert caught.value.outcome is Outcome.NOT_RUN


class TestOutcomeOnTheWire:
    def test_unknown_outcome_survives_a_hop(self):
        exc = EbonydealError(ErrorKind.JOURNAL_BEHIND, "x", outcome=Outcome.UNKNOWN)
        assert EbonydealError.from_body(exc.to_body()).outcome is Outcome.UNKNOWN

    def test_default_of_the_kind_replaces_an_invalid_outcome(self):
        exc = EbonydealError.from_body({"error": {"code": "shed", "outcome": "odd"}})
        assert exc.outcome is Outcome.NOT_RUN
