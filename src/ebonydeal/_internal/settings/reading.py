"""What an INI file holds: typed sections, and every problem in it.

A program that starts reads its settings by this alone, without what only the
command line loads.
"""

import os
from configparser import ConfigParser, Error
from difflib import get_close_matches
from typing import Annotated, Any, NamedTuple, get_args, get_origin, get_type_hints

from ebonydeal._internal.settings.keys import Key, env_name

_TRUE = ("yes", "true", "on", "1")
_FALSE = ("no", "false", "off", "0")


class Problem(NamedTuple):
    """One mistake in a settings file, with what would be accepted."""

    file: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        """Return one line for the user."""
        where = f"[{self.section}] {self.key}".rstrip()
        return f"{self.file}: {where}: {self.message}"


class KeySpec(NamedTuple):
    """A key with its type and default."""

    name: str
    type: type
    default: Any
    key: Key

    def accepted(self) -> str:
        """Say in words which values are accepted."""
        if self.key.choices:
            return "one of " + ", ".join(self.key.choices)
        if self.type is bool:
            return "yes or no"
        word = {int: "a whole number", float: "a number", str: "text"}[self.type]
        if self.key.low is not None and self.key.high is not None:
            word += f" from {self.key.low:g} to {self.key.high:g}"
        return f"{word} {self.key.unit}".strip()


def key_specs(section: type) -> list[KeySpec]:
    """Return the keys of a section class, in their order."""
    hints = get_type_hints(section, include_extras=True)
    defaults = section._field_defaults  # type: ignore[attr-defined]
    specs = []
    for name, hint in hints.items():
        if get_origin(hint) is not Annotated:
            continue
        kind, key = get_args(hint)[:2]
        specs.append(KeySpec(name, kind, defaults[name], key))
    return specs


def _convert(spec: KeySpec, text: str) -> Any:
    """Return the typed value; raises ValueError."""
    if spec.type is bool:
        word = text.strip().lower()
        if word not in _TRUE + _FALSE:
            raise ValueError(text)
        return word in _TRUE
    value = spec.type(text)
    if spec.key.choices and value not in spec.key.choices:
        raise ValueError(text)
    if spec.key.low is not None and not value >= spec.key.low:
        raise ValueError(text)
    if spec.key.high is not None and not value <= spec.key.high:
        raise ValueError(text)
    return value


def _nearest(word: str, words: list[str]) -> str:
    """Return a suffix that names the nearest known word, or all of them."""
    close = get_close_matches(word, words, n=1)
    if close:
        return f"did you mean '{close[0]}'?"
    return "known: " + ", ".join(words)


def _read_key(
    file: str, section: str, spec: KeySpec, text: str, problems: list[Problem]
) -> Any:
    """Return a key's typed value, or its default after noting the problem."""
    try:
        return _convert(spec, text)
    except ValueError:
        shown = "***" if spec.key.secret else repr(text)
        message = f"{shown} is not accepted; expected {spec.accepted()}"
        problems.append(Problem(file, section, spec.name, message))
        return spec.default


def _parse_section(
    file: str, name: str, cls: type, given: dict[str, str], problems: list[Problem]
) -> Any:
    """Build one typed section, noting every problem in it."""
    specs = {spec.name: spec for spec in key_specs(cls)}
    for key in given:
        if key not in specs:
            hint = _nearest(key, list(specs))
            problems.append(Problem(file, name, key, f"unknown key; {hint}"))
    values = {}
    for key, spec in specs.items():
        env = os.environ.get(env_name(name, key))
        text = env if env is not None else given.get(key)
        if text is not None:
            values[key] = _read_key(file, name, spec, text, problems)
    return cls(**values)


def read_sections(
    text: str, file: str, sections: dict[str, type]
) -> tuple[dict[str, Any], list[Problem]]:
    """Return the typed sections of INI ``text``, and every problem found.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Its name, for messages.
    sections : dict of str to type
        Known section names and their NamedTuple classes.
    """
    parser = ConfigParser(interpolation=None)
    problems: list[Problem] = []
    try:
        parser.read_string(text, file)
    except Error as exc:
        reason = " ".join(str(exc).split())
        return {}, [Problem(file, "", "", reason)]
    for name in parser.sections():
        if name not in sections:
            hint = _nearest(name, list(sections))
            problems.append(Problem(file, name, "", f"unknown section; {hint}"))
    values = {}
    for name, cls in sections.items():
        given = dict(parser[name]) if parser.has_section(name) else {}
        values[name] = _parse_section(file, name, cls, given, problems)
    return values, problems
