import re
import runpy

import click
import pytest

from ebonydeal._internal.cli import console, controller, gateway, journal, relay
from ebonydeal._internal.cli.main import main
from tests.lib.pages import (
    PAGES,
    ROOT,
    code_lines,
    commands,
    join_continuations,
    links,
    name,
    paths,
)

PROGRAMS = {
    "ebonydeal": main,
    "ebonydeal-gateway": gateway.main,
    "ebonydeal-journal": journal.main,
    "ebonydeal-controller": controller.main,
    "ebonydeal-console": console.main,
    "ebonydeal-relay": relay.relay_command(),
}
SHOWN = [shown for page in PAGES for shown in commands(page)]
# A page that gives figures of runs says so by one of these words.
FIGURES = re.compile(r"\b([Mm]easured|[Ff]igures?)\b")
COMMAND = re.compile(
    r"ebonydeal (bench [a-z]+|quickstart)|pytest|tests/\w+|test_\w+\.py"
)


def parse(words):
    """Parse a command line as the program would, without running it."""
    label, *args = words
    command, parent = PROGRAMS[label], None
    while isinstance(command, click.Group) and args and not args[0].startswith("-"):
        parent = click.Context(command, parent=parent, info_name=label)
        label, command, args = command.resolve_command(parent, args)
    command.make_context(label, args, parent=parent)


class TestCommands:
    def test_every_program_is_shown(self):
        assert {shown.words[0] for shown in SHOWN} == set(PROGRAMS)

    @pytest.mark.parametrize("shown", SHOWN, ids=str)
    def test_is_real(self, shown):
        try:
            parse(shown.words)
        except click.exceptions.Exit as exc:
            assert exc.exit_code == 0

    @pytest.mark.parametrize(
        "words",
        [
            ("ebonydeal", "bench", "rooting"),
            ("ebonydeal", "bench", "routing", "--sed", "1"),
            ("ebonydeal", "bench", "routing", "--seeds", "many"),
            ("ebonydeal", "explain"),
            ("ebonydeal-gateway",),
        ],
    )
    def test_what_is_not_real_is_found(self, words):
        with pytest.raises(click.UsageError):
            parse(words)


class TestReading:
    def test_fenced_and_indented_blocks(self):
        text = "a\n```sh\n$ x 1\n```\n```ini\nno\n```\n    y \\\n        2\n"
        assert list(join_continuations(code_lines(text))) == [(3, "x 1"), (8, "y 2")]

    def test_comments_pipes_and_assignments(self, tmp_path):
        page = ROOT / "docs" / "README.md"
        assert all(shown.page == name(page) for shown in commands(page))
        assert ("ebonydeal", "quickstart", "--serve") in {
            shown.words for shown in commands(page)
        }


class TestLinks:
    @pytest.mark.parametrize("page", PAGES, ids=name)
    def test_relative_links_resolve(self, page):
        missing = [link for link in links(page) if not (page.parent / link).exists()]
        assert missing == []

    @pytest.mark.parametrize("page", PAGES, ids=name)
    def test_named_paths_exist(self, page):
        missing = [path for path in paths(page) if not list(ROOT.glob(path))]
        assert missing == []


class TestFigures:
    @pytest.mark.parametrize("page", sorted(ROOT.glob("docs/**/*.md")), ids=name)
    def test_a_page_with_figures_names_their_command(self, page):
        text = page.read_text(encoding="utf-8")
        assert not FIGURES.search(text) or COMMAND.search(text)


class TestGuide:
    def test_the_line_to_change_is_there_once(self):
        guide = (ROOT / "docs/README.md").read_text(encoding="utf-8")
        (shown,) = re.findall(r"```python\n +(uncached_tokens = max.*)\n", guide)
        score = ROOT / "src/ebonydeal/_internal/routing/placement/score.py"
        assert score.read_text(encoding="utf-8").count(f"    {shown}\n") == 1


class TestChangelog:
    def test_is_built_from_the_fragments(self):
        script = runpy.run_path(str(ROOT / ".ci/changelog.py"))
        built = script["text"](ROOT / "news")
        kept = (ROOT / "CHANGELOG.md").read_text(encoding="utf-8")
        assert kept == built, "run: python .ci/changelog.py"

    def test_takes_every_fragment(self, tmp_path):
        (tmp_path / "b.feature.md").write_text("New.\n")
        (tmp_path / "a.bugfix.md").write_text("Old fault.\n")
        script = runpy.run_path(str(ROOT / ".ci/changelog.py"))
        assert script["text"](tmp_path).endswith(
            "## Not released\n\n### Added\n\n- New.\n\n### Mended\n\n- Old fault.\n"
        )

    def test_fragments_are_of_a_known_kind(self):
        kinds = {file.name.split(".")[1] for file in (ROOT / "news").glob("*.md")}
        assert kinds <= {"feature", "bugfix"}
