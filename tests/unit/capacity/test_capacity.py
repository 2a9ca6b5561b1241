from pathlib import Path

import pytest

from ebonydeal._internal.benchmarks.capacity.fit import Point, Slope, fit
from ebonydeal._internal.benchmarks.capacity.plan import FULL_PLAN
from ebonydeal._internal.benchmarks.capacity.report import (
    BEGIN,
    END,
    replace_tables,
    tables,
)
from ebonydeal._internal.benchmarks.capacity.roles import Slopes, all_roles
from ebonydeal._internal.benchmarks.capacity.size import FULL_SIZE

PAGE = Path(__file__).parents[3] / "docs" / "CAPACITY.md"
KEYS = (
    "list.bytes list.cpu list.memory members.memory members.cpu members.tick "
    "members.bytes route.cpu journal.memory journal.cpu journal.bytes "
    "journal.snapshot plan.cpu plan.memory rss peers.cpu peers.bytes call.cpu "
    "peers.bare change.bytes journal.reads journal.writes round.cpu "
    "round.tables relay.cpu"
).split()


def sample_slopes(value: float = 2.0) -> list[Slope]:
    return [Slope(key, "what", "per", value, 1.0, 1.0, 1.0, 2.0) for key in KEYS]


def table_layout(text: str) -> list[str]:
    """Return headings and table headers, without figures."""
    lines = text.splitlines()
    rules = [n for n, line in enumerate(lines) if line.startswith("|---")]
    heads = [line for line in lines if line.startswith("#")]
    return heads + [lines[n - 1] for n in rules]


class TestFit:
    def test_line_through_exact_points(self):
        line = fit("k", "w", "p", [Point(x, 3 * x + 5) for x in (1, 2, 10)])
        assert (line.slope, line.intercept) == pytest.approx((3.0, 5.0))
        assert line.r2 == pytest.approx(1.0)
        assert (line.low, line.high) == (1, 10)

    def test_value_is_never_negative(self):
        line = fit("k", "w", "p", [Point(x, x - 5.0) for x in (5, 6, 7)])
        assert line.at(0) == 0.0


class TestRoles:
    def test_nodes_are_used_up_by_the_roles(self):
        plan = FULL_PLAN
        used = plan.gateways + plan.journals + plan.controllers + plan.consoles
        assert used == FULL_SIZE.nodes

    def test_dearer_slopes_never_make_a_role_cheaper(self):
        cheap_slopes = Slopes({item.key: item for item in sample_slopes(1.0)})
        costly_slopes = Slopes({item.key: item for item in sample_slopes(3.0)})
        pairs = zip(
            all_roles(cheap_slopes, FULL_SIZE, FULL_PLAN),
            all_roles(costly_slopes, FULL_SIZE, FULL_PLAN),
            strict=True,
        )
        for low, high in pairs:
            assert high.bytes_s >= low.bytes_s
            assert high.cpu_share > low.cpu_share
            assert high.memory_mb >= low.memory_mb


class TestPage:
    def test_page_holds_the_tables_that_the_command_prints(self):
        text = PAGE.read_text()
        start = text.index(BEGIN)
        measured = text[start : text.index(END) + len(END)]
        assert table_layout(measured) == table_layout(
            tables(sample_slopes(), FULL_PLAN)
        )
        for key in KEYS:
            assert f"| `{key}` |" in measured

    def test_page_without_a_place_is_refused(self):
        with pytest.raises(ValueError, match="no place"):
            replace_tables("# page", "x")

    def test_tables_replace_the_old_ones(self):
        page = f"head\n{BEGIN}\nold\n{END}\ntail"
        assert (
            replace_tables(page, f"{BEGIN}\nnew\n{END}")
            == f"head\n{BEGIN}\nnew\n{END}\ntail"
        )
