"""Three-way merge of one item after a conflicting edit; no I/O."""

from typing import Any, NamedTuple

Item = dict[str, Any]
_ABSENT = object()


class MergeResult(NamedTuple):
    """A merged item.

    ``clashes`` are dotted paths that both operators changed; ``item`` has the
    own values there.
    """

    item: Item
    clashes: tuple[str, ...]


def merge(base: Item, mine: Item, theirs: Item) -> MergeResult:
    """Keep the changes of ``mine``; elsewhere take those of ``theirs``."""
    clashes: list[str] = []
    item = _merge_objects(base, mine, theirs, "", clashes)
    return MergeResult(item, tuple(clashes))


def _merge_objects(
    base: Item, mine: Item, theirs: Item, path: str, clashes: list[str]
) -> Item:
    """Merge two objects key by key."""
    merged: Item = {}
    for key in dict.fromkeys([*mine, *theirs]):
        where = f"{path}.{key}" if path else key
        value = _merge_values(
            base.get(key, _ABSENT),
            mine.get(key, _ABSENT),
            theirs.get(key, _ABSENT),
            where,
            clashes,
        )
        if value is not _ABSENT:
            merged[key] = value
    return merged


def _merge_values(
    base: Any, mine: Any, theirs: Any, path: str, clashes: list[str]
) -> Any:
    """Merge one value; objects are merged recursively, lists as a whole."""
    if mine == theirs or theirs == base:
        return mine
    if mine == base:
        return theirs
    if isinstance(mine, dict) and isinstance(theirs, dict):
        before = base if isinstance(base, dict) else {}
        return _merge_objects(before, mine, theirs, path, clashes)
    clashes.append(path)
    return mine
