"""What an operator asks to change, and the document that it makes; pure."""

import json
from dataclasses import dataclass
from typing import Any

from ebonydeal._internal.config.delta import join
from ebonydeal._internal.config.problems import Problem
from ebonydeal._internal.config.rows import Content


@dataclass(frozen=True)
class PutItem:
    """Set an account or deployment.

    ``original`` is the name it had, or empty for a new one; ``value`` the item's
    JSON object.
    """

    section: str
    original: str
    value: dict[str, Any]


@dataclass(frozen=True)
class RemoveItem:
    """Remove an account or deployment."""

    section: str
    name: str


@dataclass(frozen=True)
class PutDocument:
    """Set the whole document, as text."""

    text: str


@dataclass(frozen=True)
class RollForward:
    """Set an older version's content."""

    old: Content


Edit = PutItem | RemoveItem | PutDocument | RollForward


def edited(content: Content, edit: Edit) -> Any:
    """Return the whole document after ``edit``; unchecked.

    A new item is appended beside one of the same name, so that validation
    refuses it instead of replacing the other. Raises ValueError where a text
    is no JSON.
    """
    document = join(content.items)
    match edit:
        case PutItem(section=section, original=original, value=value):
            document[section] = _replaced(document[section], original, value)
        case RemoveItem(section=section, name=name):
            kept = [item for item in document[section] if item["name"] != name]
            document[section] = kept
        case PutDocument(text=text):
            return _parsed(text)
        case RollForward(old=old):
            return join(old.items)
    return document


def _replaced(
    items: list[dict[str, Any]], original: str, value: dict[str, Any]
) -> list[dict[str, Any]]:
    """Return items with ``value`` in the place of ``original``, else at the end."""
    names = [item["name"] for item in items]
    if original and original in names:
        index = names.index(original)
        return [*items[:index], value, *items[index + 1 :]]
    return [*items, value]


def _parsed(text: str) -> Any:
    """Return the JSON of a text; raises ValueError with a place."""
    try:
        return json.loads(text)
    except json.JSONDecodeError as exc:
        raise ValueError(f"line {exc.lineno}, column {exc.colno}: {exc.msg}") from exc
    except RecursionError as exc:
        raise ValueError("nests too deep") from exc


def index_of(document: dict[str, Any], edit: PutItem) -> int:
    """Return where the edited item stands in the document that `edited` made."""
    for index, item in enumerate(document[edit.section]):
        if item is edit.value:
            return index
    return -1


def own_problems(
    problems: list[Problem], section: str, index: int
) -> tuple[list[Problem], list[Problem]]:
    """Split problems into those of one item (path inside it) and the others."""
    own: list[Problem] = []
    others: list[Problem] = []
    for problem in problems:
        if problem.path[:2] == (section, index):
            own.append(Problem(problem.path[2:], problem.message))
        else:
            others.append(problem)
    return own, others


def edit_words(edit: Edit) -> str:
    """Say what an edit does, for headings and the history."""
    match edit:
        case PutItem(section=section, original="", value=value):
            return f"Add {section[:-1]} {value.get('name', '')}"
        case PutItem(section=section, original=original):
            return f"Change {section[:-1]} {original}"
        case RemoveItem(section=section, name=name):
            return f"Remove {section[:-1]} {name}"
        case RollForward(old=old):
            return f"Roll forward to the content of version {old.version}"
    return "Change the whole document"
