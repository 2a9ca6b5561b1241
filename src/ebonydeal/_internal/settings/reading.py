"""Reads typed sections from an INI file and finds every problem in it.

Starting programs need only this module, not the libraries of the command line.
"""

import os
from configparser import ConfigParser, Error
from difflib import get_close_matches
from typing import Annotated, Any, NamedTuple, get_args, get_origin, get_type_hints

from ebonydeal._internal.settings.keys import Key, env_name

_TRUE_WORDS = ("yes", "true", "on", "1")
_FALSE_WORDS = ("no", "false", "off", "0")


class Problem(NamedTuple):
    """One mistake in a settings file; the message says what is accepted."""

    file: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        """Return one line for the user."""
        where = f"[{self.section}] {self.key}".rstrip()
        return f"{self.file}: {where}: {self.message}"


class KeySpec(NamedTuple):
    """A settings key with its type and default."""

    name: str
    type: type
    default: Any
    key: Key

    def accepted(self) -> str:
        """Describe the accepted values."""
        if self.key.choices:
            return "one of " + ", ".join(self.key.choices)
        if self.type is bool:
            return "yes or no"
        text = {int: "a whole number", float: "a number", str: "text"}[self.type]
        if self.key.low is not None and self.key.high is not None:
            text += f" from {self.key.low:g} to {self.key.high:g}"
        return f"{text} {self.key.unit}".strip()


def key_specs(section: type) -> list[KeySpec]:
    """Return the keys of a section class in their order."""
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
    """Parse a value; raises ValueError if it is not accepted."""
    if spec.type is bool:
        word = text.strip().lower()
        if word not in _TRUE_WORDS + _FALSE_WORDS:
            raise ValueError(text)
        return word in _TRUE_WORDS
    value = spec.type(text)
    if spec.key.choices and value not in spec.key.choices:
        raise ValueError(text)
    if spec.key.low is not None and not value >= spec.key.low:
        raise ValueError(text)
    if spec.key.high is not None and not value <= spec.key.high:
        raise ValueError(text)
    return value


def _suggestion(word: str, words: list[str]) -> str:
    """Return a hint that names the closest known word, or all known words."""
    close = get_close_matches(word, words, n=1)
    if close:
        return f"did you mean '{close[0]}'?"
    return "known: " + ", ".join(words)


def _read_key(
    file: str, section: str, spec: KeySpec, text: str, problems: list[Problem]
) -> Any:
    """Parse the value of a key; on an error add a problem and return the default."""
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
    """Parse one section, and add every problem in it to ``problems``."""
    specs = {spec.name: spec for spec in key_specs(cls)}
    for key in given:
        if key not in specs:
            hint = _suggestion(key, list(specs))
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
        Name of the file, for messages.
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
            hint = _suggestion(name, list(sections))
            problems.append(Problem(file, name, "", f"unknown section; {hint}"))
    values = {}
    for name, cls in sections.items():
        given = dict(parser[name]) if parser.has_section(name) else {}
        values[name] = _parse_section(file, name, cls, given, problems)
    return values, problems
