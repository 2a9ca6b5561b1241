import re

import pytest

from ebonydeal._internal.errors import ERROR_RESPONSES, ErrorKind, Outcome
from ebonydeal._internal.observe.counters import Event, RetryReason, Timing
from tests.lib.pages import ROOT

TEXT = (ROOT / "docs/operate/counters.md").read_text(encoding="utf-8")
LISTS = {
    "Refusals, and the error list": ErrorKind,
    "Retries": RetryReason,
    "Events": Event,
    "Timings": Timing,
}
RAN = {Outcome.NOT_RUN: "no", Outcome.UNKNOWN: "?"}


def rows(heading):
    (section,) = re.findall(rf"^## {heading}\n(.*?)(?=^## |\Z)", TEXT, re.M | re.S)
    lines = re.findall(r"^\| `(\w+)` \|(.*)\|$", section, re.M)
    return {code: [cell.strip() for cell in rest.split("|")] for code, rest in lines}


class TestCountersPage:
    @pytest.mark.parametrize("heading", LISTS)
    def test_has_each_entry_in_the_order_of_the_code(self, heading):
        assert list(rows(heading)) == [str(item) for item in LISTS[heading]]

    @pytest.mark.parametrize("heading", LISTS)
    def test_every_entry_has_a_meaning(self, heading):
        column = 2 if LISTS[heading] is ErrorKind else 0
        assert [c for c, cells in rows(heading).items() if not cells[column]] == []

    @pytest.mark.parametrize("kind", ErrorKind)
    def test_status_and_outcome_are_the_tables(self, kind):
        response = ERROR_RESPONSES[kind]
        cells = rows("Refusals, and the error list")[str(kind)]
        assert cells[:2] == [str(response.status), RAN[response.outcome]]
        assert cells[3]
