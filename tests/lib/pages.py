"""Finds commands, links and paths in the documentation pages."""

import re
import shlex
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[2]
PAGES = sorted(
    [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md"), *ROOT.glob("bench/**/*.md")]
)
_FENCE = re.compile(r"^ *```(\w*)\s*$")
_SHELL = ("sh", "console", "bash")
_SEPARATORS = {"|", "||", "&", "&&", ";", ">", ">>", "<"}
_ASSIGNMENT = re.compile(r"^[A-Z_]+=")
_LINK = re.compile(r"\]\(([^)\s]+)\)")
# Set when a shell calls a program only to print its completion script.
_COMPLETION_VARIABLE = "_EBONYDEAL_COMPLETE="
_FOLDER_PREFIXES = (
    "docs/",
    "bench/",
    "tests/",
    "spec/",
    "deploy/",
    "news/",
    "src/",
    ".ci/",
)


class ShownCommand(NamedTuple):
    """A command shown on a page."""

    page: str
    line: int
    words: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.page}:{self.line}: {' '.join(self.words)}"


def name(page: Path) -> str:
    return str(page.relative_to(ROOT))


def code_lines(text: str) -> Iterator[tuple[int, str]]:
    """Yield the lines of shell blocks, fenced or indented by four spaces."""
    fence = None
    for number, line in enumerate(text.splitlines(), 1):
        match = _FENCE.match(line)
        if match:
            fence = match[1] if fence is None else None
        elif fence in _SHELL:
            yield number, line.strip().removeprefix("$ ")
        elif fence is None and line.startswith("    "):
            yield number, line.strip().removeprefix("$ ")


def join_continuations(lines: Iterator[tuple[int, str]]) -> Iterator[tuple[int, str]]:
    """Join each line that ends with a backslash with the next."""
    start, joined = 0, ""
    for number, line in lines:
        start = start if joined else number
        joined += line.removesuffix("\\")
        if line.endswith("\\"):
            continue
        yield start, joined
        joined = ""


def _simple_commands(line: str) -> Iterator[tuple[str, ...]]:
    """Yield the simple commands of a line without redirections."""
    lexer = shlex.shlex(line, posix=True, punctuation_chars=True)
    lexer.whitespace_split = True
    words: list[str] = []
    keep = True
    for word in lexer:
        if word in _SEPARATORS:
            if words:
                yield tuple(words)
            words = []
            keep = word not in (">", ">>", "<")
        elif keep:
            words.append(word)
    if words:
        yield tuple(words)


def commands(page: Path) -> Iterator[ShownCommand]:
    """Yield the calls of the project's programs on a page."""
    for number, line in join_continuations(
        code_lines(page.read_text(encoding="utf-8"))
    ):
        if "ebonydeal" not in line or _COMPLETION_VARIABLE in line:
            continue
        for call in _simple_commands(line):
            words = [word for word in call if not _ASSIGNMENT.match(word)]
            if words and words[0].rsplit("/", 1)[-1].startswith("ebonydeal"):
                program = words[0].rsplit("/", 1)[-1]
                yield ShownCommand(name(page), number, (program, *words[1:]))


def links(page: Path) -> list[str]:
    """Return the targets of relative links without anchors."""
    found = _LINK.findall(page.read_text(encoding="utf-8"))
    targets = [link.split("#")[0] for link in found if "://" not in link]
    return [target for target in targets if target]


def paths(page: Path) -> list[str]:
    """Return the files and folders that a page names by their path from the root."""
    quoted = re.findall(r"`([\w./*-]+)`", page.read_text(encoding="utf-8"))
    return [path for path in quoted if path.startswith(_FOLDER_PREFIXES)]
