import pytest
import structlog

from tests.lib.matrix import Row
from tests.lib.matrix_page import PAGE, page
from tests.lib.matrix_run import run_strikes, sampled_pairs
from tests.lib.matrix_table import cells

pytestmark = pytest.mark.fault_matrix

CELLS = [item for item in cells() if item.strikes]
PAIRS = sampled_pairs()


@pytest.fixture(autouse=True)
def quiet():
    previous = structlog.get_config()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.configure(**previous)


class TestTable:
    def test_each_cell_has_strikes_or_a_reason(self):
        for item in cells():
            assert bool(item.strikes) != bool(item.reason), item

    def test_strikes_are_unique(self):
        strikes = [strike for item in cells() for strike in item.strikes]
        assert len(set(strikes)) == len(strikes)

    def test_pairs_include_the_same_fault_twice(self):
        same = {first.row for first, second in PAIRS if first.row is second.row}
        assert {Row.CRASH, Row.TABLE_DOWN} & same

    def test_page_is_up_to_date(self):
        assert PAGE.read_text(encoding="utf-8") == page()


class TestCells:
    @pytest.mark.parametrize(
        "item", CELLS, ids=[f"{item.row}-{item.column}" for item in CELLS]
    )
    def test_promises_hold(self, item):
        broken = {}
        for strike in item.strikes:
            verdict = run_strikes((strike,))
            if verdict.broken or verdict.pending:
                broken[str(strike)] = verdict
        assert broken == {}


class TestPairs:
    @pytest.mark.parametrize("pair", PAIRS, ids=lambda pair: " + ".join(map(str, pair)))
    def test_promises_hold(self, pair):
        assert run_strikes(pair).broken == []


class TestVerdicts:
    @pytest.mark.parametrize("item", CELLS[::40], ids=str)
    def test_verdicts_are_deterministic(self, item):
        first = [run_strikes((strike,)) for strike in item.strikes]
        assert [run_strikes((strike,)) for strike in item.strikes] == first
