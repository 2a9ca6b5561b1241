from ebonydeal._internal.journal.claims import Claim
from ebonydeal._internal.journal.fold import RequestState
from ebonydeal._internal.journal.rows import journal_key, shard_key
from ebonydeal._internal.journal.snapshots import (
    encode_states,
    replay,
    save_snapshot,
    trim,
)
from ebonydeal._internal.models.records import Accepted, record_to_message
from ebonydeal._internal.outside.interfaces import Put
from ebonydeal._internal.standin.memory import MemoryObjects, MemoryTables
from tests.lib.journal_fakes import make_request

LATER_CLAIM = Claim(0, 2, "c-2")


class TestReplay:
    async def test_restarts_when_a_later_owner_trims_during_the_scan(self):
        tables, objects = MemoryTables(), MemoryObjects()
        request = make_request()
        row = {"batch": "b", "records": [record_to_message(Accepted(request))]}
        await tables.transact([], [Put(shard_key(0), {"epoch": 2})])
        await tables.transact([], [Put(journal_key(0, 0), row)])

        async def trim_before_the_scan(operation):
            if operation.name == "scan":
                tables.faults.before = None
                data = encode_states([RequestState(request)])
                await save_snapshot(tables, objects, LATER_CLAIM, 1, data)
                await trim(tables, LATER_CLAIM, 1)

        tables.faults.before = trim_before_the_scan
        replayed = await replay(tables, objects, 0)
        assert set(replayed.states) == {request.request_id}
        assert (replayed.snapshot_seq, replayed.seq) == (1, 1)
