"""The strikes of each cell of the fault matrix, or why it can't happen."""

from typing import NamedTuple

from tests.lib.matrix import Channel, Column, Row, Strike, When

JOURNAL_COLUMNS = (
    Column.ACCEPT,
    Column.COMMIT,
    Column.DISPATCH,
    Column.STREAM,
    Column.COMPLETE,
    Column.ANSWER,
    Column.SNAPSHOT,
    Column.TRIM,
    Column.HAND_OVER,
)
CHECKS_FENCE = "checks fence"
IGNORES_FENCE = "ignores fence"
_T, _O, _P = Channel.TABLE, Channel.OBJECTS, Channel.PEER
_E, _H = Channel.ENDPOINT, Channel.HOST
_CHANNELS: dict[Column, tuple[Channel, ...]] = {
    Column.ACCEPT: (_P, _O, _T),
    Column.COMMIT: (_T,),
    Column.DISPATCH: (_O, _T, _E, _H),
    Column.STREAM: (_E, _H),
    Column.COMPLETE: (_E, _H, _O, _T),
    Column.ANSWER: (_P, _O, _T),
    Column.SNAPSHOT: (_O, _T),
    Column.TRIM: (_T,),
    Column.HAND_OVER: (_T, _O),
    Column.CONFIG_COMMIT: (_T,),
    Column.CONFIG_SPREAD: (_T, _P),
    Column.ORDER: (_E,),
}
_VICTIMS: dict[tuple[Column, Channel], tuple[str, ...]] = {
    (Column.DISPATCH, _E): ("covers1", "draft1", "note1"),
    (Column.STREAM, _E): ("covers1", "draft1"),
    (Column.COMPLETE, _E): ("covers1", "draft1", "note1"),
    (Column.DISPATCH, _H): ("covers1", "draft1", "note1"),
    (Column.STREAM, _H): ("covers1", "draft1"),
    (Column.COMPLETE, _H): ("covers1", "draft1", "note1"),
    (Column.HAND_OVER, _O): ("get", "names"),
    (Column.ORDER, _E): (CHECKS_FENCE, IGNORES_FENCE),
}
# Columns whose table operations are only reads.
_READS = (Column.ACCEPT, Column.ANSWER, Column.CONFIG_SPREAD)
_STOPS = (Row.CRASH, Row.PAUSED)
_LASTING = (
    Row.NOTICE,
    Row.ZONE_WAVE,
    Row.TABLE_DOWN,
    Row.TABLE_SLOW,
    Row.OBJECTS_DOWN,
    Row.OBJECTS_SLOW,
    Row.UNREACHABLE,
    Row.TWO_OPERATORS,
    Row.START_REFUSED,
)

CHOSEN = "an endpoint is chosen at dispatch only; see there"
NO_START = "no instance is started on this path; the controller starts them, see order"
NO_OPERATOR = "no operator takes part; what a request needs was fixed at its accept"
NO_OBJECT = "no object is read or written at this step"
NO_TABLE = "nothing is read from or written to the table while an endpoint generates"
CONFIG_ALONE = "configuration is in table rows and peer rounds only"
CONSOLE = "a console that is reclaimed in a commit is a crash of it, see there"
NO_PEER = "an operator's process commits to the table itself, through no peer"
NO_CACHE = "the controller reads no cache events"

_REASONS: dict[tuple[Row, Column], str] = {}
for _column in JOURNAL_COLUMNS:
    _REASONS[Row.START_REFUSED, _column] = NO_START
    _REASONS[Row.TWO_OPERATORS, _column] = NO_OPERATOR
    if _column is not Column.DISPATCH:
        _REASONS[Row.LOAD, _column] = CHOSEN
        _REASONS[Row.CACHE, _column] = CHOSEN
for _row in (Row.OBJECTS_LOST, Row.OBJECTS_REFUSED):
    for _column in (Column.COMMIT, Column.STREAM, Column.TRIM):
        _REASONS[_row, _column] = NO_OBJECT
for _row in (Row.TABLE_LOST, Row.TABLE_REFUSED):
    _REASONS[_row, Column.STREAM] = NO_TABLE
for _column in (Column.CONFIG_COMMIT, Column.CONFIG_SPREAD):
    _REASONS[Row.START_REFUSED, _column] = NO_START
    for _row in (
        Row.OBJECTS_DOWN,
        Row.OBJECTS_SLOW,
        Row.OBJECTS_LOST,
        Row.OBJECTS_REFUSED,
        Row.LOAD,
        Row.CACHE,
    ):
        _REASONS[_row, _column] = CONFIG_ALONE
for _row in (Row.NOTICE, Row.ZONE_WAVE):
    _REASONS[_row, Column.CONFIG_COMMIT] = CONSOLE
_REASONS[Row.UNREACHABLE, Column.CONFIG_COMMIT] = NO_PEER
for _row in (
    Row.OBJECTS_DOWN,
    Row.OBJECTS_SLOW,
    Row.OBJECTS_LOST,
    Row.OBJECTS_REFUSED,
):
    _REASONS[_row, Column.ORDER] = "the controller keeps nothing in the object store"
_REASONS[Row.CACHE, Column.ORDER] = NO_CACHE


class Cell(NamedTuple):
    """One cell: strikes that are run one at a time, or the reason for none."""

    row: Row
    column: Column
    strikes: tuple[Strike, ...]
    reason: str


def cell(row: Row, column: Column) -> Cell:
    """Return a cell with its strikes or the reason for none."""
    reason = _REASONS.get((row, column), "")
    strikes: tuple[Strike, ...] = ()
    if not reason:
        strikes = _strikes(row, column)
    return Cell(row, column, strikes, reason)


def cells() -> list[Cell]:
    """Return all cells, row by row."""
    return [cell(row, column) for row in Row for column in Column]


def _strikes(row: Row, column: Column) -> tuple[Strike, ...]:
    found: list[Strike] = []
    for channel in _CHANNELS[column]:
        for when in _whens(row, column, channel):
            for victim in _VICTIMS.get((column, channel), ("",)):
                found.append(Strike(row, column, channel, when, victim))
    return tuple(found)


def _whens(row: Row, column: Column, channel: Channel) -> tuple[When, ...]:
    """Return whether a fault can occur before or after a channel's operation."""
    if channel is Channel.HOST and row is not Row.CRASH:
        return ()
    if row in _STOPS or column is Column.ORDER:
        return (When.BEFORE, When.AFTER)
    if row in _LASTING:
        return (When.BEFORE,)
    if row in (Row.LOAD, Row.CACHE):
        return (When.BEFORE,) if channel is Channel.ENDPOINT else ()
    if row in (Row.TABLE_LOST, Row.TABLE_REFUSED):
        return (When.BEFORE,) if channel is Channel.TABLE else ()
    if row in (Row.OBJECTS_LOST, Row.OBJECTS_REFUSED):
        return (When.BEFORE,) if channel is Channel.OBJECTS else ()
    return (When.BEFORE,) if _can_disturb(row, column, channel) else ()


def _can_disturb(row: Row, column: Column, channel: Channel) -> bool:
    """Return whether a message of this channel can be late, duplicated or reordered."""
    match channel:
        case Channel.PEER:
            return True
        case Channel.ENDPOINT:
            return row is Row.LATE or column is Column.STREAM
        case Channel.TABLE:
            return column not in _READS
        case Channel.OBJECTS:
            return column in (Column.ACCEPT, Column.COMPLETE, Column.SNAPSHOT)
