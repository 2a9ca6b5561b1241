"""The project's pages, and what can be checked in them."""

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
_BREAKS = {"|", "||", "&", "&&", ";", ">", ">>", "<"}
_ASSIGNMENT = re.compile(r"^[A-Z_]+=")
_LINK = re.compile(r"\]\(([^)\s]+)\)")
# Shell completion calls a program for its script alone.
_COMPLETION = "_EBONYDEAL_COMPLETE="
_FOLDERS = ("docs/", "bench/", "tests/", "spec/", "deploy/", "news/", "src/", ".ci/")


class Shown(NamedTuple):
    """A command as a page shows it."""

    page: str
    line: int
    words: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.page}:{self.line}: {' '.join(self.words)}"


def name(page: Path) -> str:
    return str(page.relative_to(ROOT))


def code_lines(text: str) -> Iterator[tuple[int, str]]:
    """Yield the lines of shell blocks: fenced, or indented by four spaces."""
    fence = None
    for number, line in enumerate(text.splitlines(), 1):
        match = _FENCE.match(line)
        if match:
            fence = match[1] if fence is None else None
        elif fence in _SHELL:
            yield number, line.strip().removeprefix("$ ")
        elif fence is None and line.startswith("    "):
            yield number, line.strip().removeprefix("$ ")


def joined(lines: Iterator[tuple[int, str]]) -> Iterator[tuple[int, str]]:
    """Join lines that end with a backslash to the next."""
    start, held = 0, ""
    for number, line in lines:
        start = start if held else number
        held += line.removesuffix("\\")
        if line.endswith("\\"):
            continue
        yield start, held
        held = ""


def _calls(line: str) -> Iterator[tuple[str, ...]]:
    """Yield the simple commands of a line, without redirections."""
    lexer = shlex.shlex(line, posix=True, punctuation_chars=True)
    lexer.whitespace_split = True
    words: list[str] = []
    keep = True
    for word in lexer:
        if word in _BREAKS:
            if words:
                yield tuple(words)
            words = []
            keep = word not in (">", ">>", "<")
        elif keep:
            words.append(word)
    if words:
        yield tuple(words)


def commands(page: Path) -> Iterator[Shown]:
    """Yield the calls of the project's own programs that a page shows."""
    for number, line in joined(code_lines(page.read_text(encoding="utf-8"))):
        if "ebonydeal" not in line or _COMPLETION in line:
            continue
        for call in _calls(line):
            words = [word for word in call if not _ASSIGNMENT.match(word)]
            if words and words[0].rsplit("/", 1)[-1].startswith("ebonydeal"):
                program = words[0].rsplit("/", 1)[-1]
                yield Shown(name(page), number, (program, *words[1:]))


def links(page: Path) -> list[str]:
    """Return the targets of relative links, without their anchors."""
    found = _LINK.findall(page.read_text(encoding="utf-8"))
    targets = [link.split("#")[0] for link in found if "://" not in link]
    return [target for target in targets if target]


def paths(page: Path) -> list[str]:
    """Return the files and folders that a page names by their path from the root."""
    quoted = re.findall(r"`([\w./*-]+)`", page.read_text(encoding="utf-8"))
    return [path for path in quoted if path.startswith(_FOLDERS)]
