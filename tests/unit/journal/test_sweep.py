from ebonydeal._internal.journal.bodies import Bodies
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.standin.memory import MemoryObjects

NAMES = (
    "bodies/0000/00000001-r-request",
    "bodies/0000/00000002-r-answer",
    "bodies/0000/00000003-r-answer",
    "snapshots/0000/00000001-000000000003",
    "snapshots/0000/00000003-000000000008",
)


class TestEarlierObjects:
    async def test_paused_owner_lists_no_objects_of_later_epochs(self):
        objects = MemoryObjects()
        for name in NAMES:
            await objects.put(name, b"x")
        bodies = Bodies(objects, 0, 2, JournalSettings())
        assert await bodies.earlier_objects() == [NAMES[0], NAMES[3]]
