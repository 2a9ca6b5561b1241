"""Edits of the configuration document and the documents they produce; no I/O."""

import json
from dataclasses import dataclass
from typing import Any

from ebonydeal._internal.config.delta import join
from ebonydeal._internal.config.problems import Problem
from ebonydeal._internal.config.rows import Content


@dataclass(frozen=True)
class PutItem:
    """Add or replace an account or deployment.

    ``original_name`` is the item's name before the edit, or empty for a new
    item; ``value`` is the item's JSON object.
    """

    section: str
    original_name: str
    value: dict[str, Any]


@dataclass(frozen=True)
class RemoveItem:
    """Remove an account or deployment."""

    section: str
    name: str


@dataclass(frozen=True)
class PutDocument:
    """Replace the whole document with the given JSON text."""

    text: str


@dataclass(frozen=True)
class RollForward:
    """Replace the document with the content of an older version."""

    old: Content


Edit = PutItem | RemoveItem | PutDocument | RollForward


def apply_edit(content: Content, edit: Edit) -> Any:
    """Return the whole document after ``edit``, without validating it.

    A new item is appended even if its name is taken: validation then refuses
    it, instead of the old item being replaced. Raises ValueError if the text
    is not JSON.
    """
    document = join(content.items)
    match edit:
        case PutItem(section=section, original_name=original_name, value=value):
            document[section] = _replace_item(document[section], original_name, value)
        case RemoveItem(section=section, name=name):
            kept = [item for item in document[section] if item["name"] != name]
            document[section] = kept
        case PutDocument(text=text):
            return _parse_json(text)
        case RollForward(old=old):
            return join(old.items)
    return document


def _replace_item(
    items: list[dict[str, Any]], original_name: str, value: dict[str, Any]
) -> list[dict[str, Any]]:
    """Return items with ``value`` replacing ``original_name``, or appended."""
    names = [item["name"] for item in items]
    if original_name and original_name in names:
        index = names.index(original_name)
        return [*items[:index], value, *items[index + 1 :]]
    return [*items, value]


def _parse_json(text: str) -> Any:
    """Parse JSON; raises ValueError with line and column."""
    try:
        return json.loads(text)
    except json.JSONDecodeError as exc:
        raise ValueError(f"line {exc.lineno}, column {exc.colno}: {exc.msg}") from exc
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc


def edited_item_index(document: dict[str, Any], edit: PutItem) -> int:
    """Return the index of the edited item in the document from `apply_edit`."""
    for index, item in enumerate(document[edit.section]):
        if item is edit.value:
            return index
    return -1


def split_problems(
    problems: list[Problem], section: str, index: int
) -> tuple[list[Problem], list[Problem]]:
    """Split problems into those of one item (paths relative to it) and the others."""
    own: list[Problem] = []
    others: list[Problem] = []
    for problem in problems:
        if problem.path[:2] == (section, index):
            own.append(Problem(problem.path[2:], problem.message))
        else:
            others.append(problem)
    return own, others


def describe_edit(edit: Edit) -> str:
    """Describe an edit, for headings and the history."""
    match edit:
        case PutItem(section=section, original_name="", value=value):
            return f"Add {section[:-1]} {value.get('name', '')}"
        case PutItem(section=section, original_name=original_name):
            return f"Change {section[:-1]} {original_name}"
        case RemoveItem(section=section, name=name):
            return f"Remove {section[:-1]} {name}"
        case RollForward(old=old):
            return f"Roll forward to the content of version {old.version}"
    return "Change the whole document"
