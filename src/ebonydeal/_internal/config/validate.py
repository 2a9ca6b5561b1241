"""Validation of a document: reports all problems at once, each with its path.

There are three passes: values that JSON or the table can't represent; the published
schema; references, ranges across fields and feasibility. The last pass skips fields
that the schema rejected.
"""

import json
import math
from collections.abc import Iterator, Sequence
from functools import cache
from importlib.resources import files
from typing import Any
from unicodedata import is_normalized

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError
from returns.result import Failure, Result, Success

from ebonydeal._internal.config.delta import SECTIONS
from ebonydeal._internal.config.problems import Path, Problem
from ebonydeal._internal.config.references import reference_problems
from ebonydeal._internal.outside.interfaces import Offer

_MAX_SHOWN_CHARS = 60
_MAX_DEPTH = 50
_MAX_PROBLEMS = 200


@cache
def schema() -> dict[str, Any]:
    """Return the published JSON Schema (draft 2020-12)."""
    path = files("ebonydeal._internal.config") / "schema.json"
    return json.loads(path.read_text(encoding="utf-8"))


@cache
def _validator() -> Draft202012Validator:
    """Return the compiled schema."""
    return Draft202012Validator(schema())


def validate(
    document: Any, offers: Sequence[Offer] | None = None
) -> Result[dict[str, Any], list[Problem]]:
    """Check a complete document.

    Parameters
    ----------
    document : Any
        Parsed JSON of any form; only a valid document succeeds.
    offers : sequence of Offer, optional
        Current offers of the cloud; without them the feasibility of price ceilings
        isn't checked.

    Returns
    -------
    Result
        The document itself, or the problems found, in document order.
    """
    problems = list(_value_problems(document, ()))
    if not problems:
        errors = _validator().iter_errors(document)
        problems = [item for error in errors for item in _from_error(error)]
        if _is_comparable(document):
            rejected = {problem.path for problem in problems}
            problems += reference_problems(document, offers, rejected)
    if problems:
        return Failure(sorted(problems, key=_sort_key)[:_MAX_PROBLEMS])
    return Success(document)


def _is_comparable(document: Any) -> bool:
    """Return whether all sections are lists, so that items can be compared."""
    return isinstance(document, dict) and all(
        isinstance(document.get(section), list) for section in SECTIONS
    )


def _sort_key(problem: Problem) -> tuple[tuple[int, str], ...]:
    """Return a sort key: list indexes by number, keys by name."""
    return tuple(
        (part, "") if isinstance(part, int) else (-1, part) for part in problem.path
    )


def _value_problems(value: Any, path: Path) -> Iterator[Problem]:
    """Yield values that JSON can't represent, and texts that aren't normalized."""
    if len(path) > _MAX_DEPTH:
        yield Problem(path[:3], "is nested too deeply")
        return
    match value:
        case dict():
            for key, item in value.items():
                if not isinstance(key, str):
                    yield Problem(path, "keys must be strings")
                    continue
                yield from _text_problems(key, path)
                yield from _value_problems(item, (*path, key))
        case list():
            for index, item in enumerate(value):
                yield from _value_problems(item, (*path, index))
        case str():
            yield from _text_problems(value, path)
        case float() if not math.isfinite(value):
            yield Problem(path, "must be a finite number")
        case None | bool() | int() | float():
            pass
        case _:
            yield Problem(path, f"{type(value).__name__} is not a JSON type")


def _text_problems(text: str, path: Path) -> Iterator[Problem]:
    """Yield problems of a string's encoding."""
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        yield Problem(path, "contains characters that UTF-8 can't encode")
        return
    if not is_normalized("NFC", text):
        yield Problem(path, "must be normalized to composed accents (Unicode NFC)")


def _shown(value: Any) -> str:
    """Return a value as text for a message, truncated to a readable length."""
    text = json.dumps(value, ensure_ascii=False, default=str)
    return text if len(text) <= _MAX_SHOWN_CHARS else text[:_MAX_SHOWN_CHARS] + "..."


def _from_error(error: ValidationError) -> list[Problem]:
    """Return the problems that one schema error describes."""
    path: Path = tuple(error.absolute_path)
    value: Any = error.instance
    rule: Any = error.validator_value
    shape: Any = error.schema
    match error.validator:
        case "required":
            missing = [key for key in rule if key not in value]
            found = [key for key in missing if error.message.startswith(repr(key))]
            return [Problem((*path, key), "is missing") for key in found]
        case "additionalProperties":
            known = ", ".join(shape["properties"])
            extra = [key for key in value if key not in shape["properties"]]
            return [
                Problem((*path, key), f"unknown key; known keys: {known}")
                for key in extra
            ]
    return [Problem(path, _message(error, value, rule, shape))]


def _message(error: ValidationError, value: Any, rule: Any, shape: Any) -> str:
    """Return what is wrong with one value, and which values are accepted."""
    match error.validator:
        case "type":
            return f"must be of type {rule}, not {_shown(value)}"
        case "enum":
            return f"must be one of {', '.join(rule)}, not {_shown(value)}"
        case "pattern":
            return f"must be {shape['description']}, not {_shown(value)}"
        case "minimum":
            return f"must be at least {rule:g}, not {_shown(value)}"
        case "exclusiveMinimum":
            return f"must be more than {rule:g}, not {_shown(value)}"
        case "maximum":
            return f"must be at most {rule:g}, not {_shown(value)}"
        case "minItems":
            return f"must have at least {rule} entry"
        case "maxItems":
            return f"must have at most {rule}, not {len(value)}"
        case "minLength":
            return "must not be empty"
        case "maxLength":
            return f"must have at most {rule} characters"
        case "uniqueItems":
            return "must not contain duplicates"
    return error.message[:_MAX_SHOWN_CHARS]
