"""Items of a document, and the delta between two versions of it.

An item is one region, account or deployment, or the currency. A delta consists of
complete items, so a change of one item writes and sends only this item.
"""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, TypedDict

SECTIONS = ("regions", "accounts", "deployments")
_CURRENCY = ("document", "currency")


class ItemKey(NamedTuple):
    """Key of an item: its section and its name."""

    section: str
    name: str

    def __str__(self) -> str:
        """Return the key as text, such as ``deployments/kitchen``."""
        return f"{self.section}/{self.name}"


Items = Mapping[ItemKey, dict[str, Any]]


class ChangedMessage(TypedDict):
    """Wire shape of one changed item."""

    section: str
    name: str
    value: dict[str, Any]


class DeltaMessage(TypedDict):
    """Wire shape of a delta; also its fields in a version row."""

    changed: list[ChangedMessage]
    removed: list[list[str]]


class Delta(NamedTuple):
    """Items that a version sets, and items that it removes."""

    changed: dict[ItemKey, dict[str, Any]]
    removed: tuple[ItemKey, ...]

    def __bool__(self) -> bool:
        """Whether anything differs."""
        return bool(self.changed or self.removed)

    def to_message(self) -> DeltaMessage:
        """Return the wire shape."""
        return DeltaMessage(
            changed=[
                ChangedMessage(section=key.section, name=key.name, value=value)
                for key, value in self.changed.items()
            ],
            removed=[list(key) for key in self.removed],
        )

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> "Delta":
        """Build from the wire shape; raises KeyError, TypeError or ValueError."""
        changed = {
            ItemKey(str(item["section"]), str(item["name"])): dict(item["value"])
            for item in message["changed"]
        }
        removed = tuple(ItemKey(str(a), str(b)) for a, b in message["removed"])
        return cls(changed, removed)


class Difference(NamedTuple):
    """One line of a diff for operators.

    Attributes
    ----------
    item : ItemKey
        The item that differs.
    field : str
        Dotted path inside it; empty if the whole item was added or removed.
    before, after : Any
        Values; None if there is none.
    """

    item: ItemKey
    field: str
    before: Any
    after: Any

    def __str__(self) -> str:
        """Return one line of text."""
        if not self.field:
            return f"{'+' if self.before is None else '-'} {self.item}"
        return (
            f"~ {self.item} {self.field}: {_text(self.before)} -> {_text(self.after)}"
        )


def split(document: Mapping[str, Any]) -> dict[ItemKey, dict[str, Any]]:
    """Return the items of a validated document."""
    items = {ItemKey(*_CURRENCY): {"currency": document["currency"]}}
    for section in SECTIONS:
        for value in document[section]:
            items[ItemKey(section, value["name"])] = value
    return items


def join(items: Items) -> dict[str, Any]:
    """Return the document made of these items, each section sorted by name."""
    currency = items.get(ItemKey(*_CURRENCY), {}).get("currency", "")
    document: dict[str, Any] = {"currency": currency}
    for section in SECTIONS:
        keys = sorted(key for key in items if key.section == section)
        document[section] = [items[key] for key in keys]
    return document


def compute_delta(old: Items, new: Items) -> Delta:
    """Return the delta that turns ``old`` into ``new``."""
    changed = {
        key: value for key, value in sorted(new.items()) if old.get(key) != value
    }
    removed = tuple(sorted(key for key in old if key not in new))
    return Delta(changed, removed)


def apply(items: Items, delta: Delta) -> dict[ItemKey, dict[str, Any]]:
    """Return ``items`` with ``delta`` applied."""
    removed = set(delta.removed)
    kept = {key: value for key, value in items.items() if key not in removed}
    return {**kept, **delta.changed}


def differences(old: Items, new: Items) -> list[Difference]:
    """Return a diff for operators, field by field."""
    found: list[Difference] = []
    for key in sorted({*old, *new}):
        if key not in old:
            found.append(Difference(key, "", None, new[key]))
        elif key not in new:
            found.append(Difference(key, "", old[key], None))
        else:
            found.extend(_field_differences(key, "", old[key], new[key]))
    return found


def _field_differences(
    item: ItemKey, field: str, old: Any, new: Any
) -> Iterator[Difference]:
    """Yield the fields that differ, descending into objects but not into lists."""
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted({*old, *new}):
            inner = f"{field}.{key}" if field else key
            yield from _field_differences(item, inner, old.get(key), new.get(key))
    elif old != new:
        yield Difference(item, field, old, new)


def _text(value: Any) -> str:
    """Return a value as text for operators."""
    match value:
        case None:
            return "(none)"
        case bool():
            return "yes" if value else "no"
        case list():
            return "[" + ", ".join(_text(item) for item in value) + "]"
        case dict():
            return "{" + ", ".join(f"{k}: {_text(v)}" for k, v in value.items()) + "}"
    return str(value)
