"""Parses an INI file into typed sections; all problems are reported together."""

from typing import Any

from returns.result import Failure, Result, Success

from ebonydeal._internal.settings.reading import Problem, read_sections


def parse_settings(
    text: str, file: str, sections: dict[str, type]
) -> Result[dict[str, Any], list[Problem]]:
    """Parse INI ``text`` into typed sections, or return every problem found."""
    values, problems = read_sections(text, file, sections)
    return Failure(problems) if problems else Success(values)
