"""Which column of the matrix an operation on a store belongs to."""

from ebonydeal._internal.outside.interfaces import Delete, Put
from ebonydeal._internal.standin.faults import Operation
from tests.lib.matrix import ACTOR, CALLER_COLUMN, Column

_RECORDS = {
    "accepted": Column.COMMIT,
    "dispatched": Column.DISPATCH,
    "completed": Column.COMPLETE,
    "unknown": Column.COMPLETE,
}


def table_column(operation: Operation) -> Column | None:
    """Return the column of an operation on the table service."""
    if operation.name != "transact":
        # A gateway looks up the owner of a request.
        asked = operation.key.startswith("shards/") and ACTOR.get() is None
        return CALLER_COLUMN.get() if asked else None
    for write in operation.detail[1]:
        match write:
            case Put(key, value) if key.startswith("journal/"):
                return _record_column(value)
            case Put(key, _) if key.startswith("snapshots/"):
                return Column.SNAPSHOT
            case Delete(key) if key.startswith("journal/"):
                return Column.TRIM
            case Put(key, value) if key.startswith("shards/") and not value["owner"]:
                return Column.HAND_OVER
    return None


def _record_column(row: dict) -> Column | None:
    for record in row["records"]:
        if record["record"] in _RECORDS:
            return _RECORDS[record["record"]]
    return None


def object_column(operation: Operation, requests: set[str]) -> Column | None:
    """Return the column of an operation on the object store.

    ``requests`` has the digests of request bodies; other bodies are answers.
    """
    if operation.key.startswith("snapshots/"):
        return {
            "put": Column.SNAPSHOT,
            "delete": Column.TRIM,
            "get": Column.HAND_OVER,
            "names": Column.HAND_OVER,
        }[operation.name]
    is_request = operation.key.rpartition("-")[2] in requests
    match operation.name:
        case "put":
            return Column.ACCEPT if is_request else Column.COMPLETE
        case "get":
            return Column.DISPATCH if is_request else Column.ANSWER
    return None
