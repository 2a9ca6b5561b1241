"""Every scenario in ``deploy/days`` can be parsed and describes its faults."""

import tomllib

import pytest

from tests.lib.pages import ROOT

# The latest fault of a day of the usual length, and the time from the last fault to the
# end of a day that states its length.
LATEST_S = 40.0
END_MARGIN_S = 9.0
DAYS = sorted((ROOT / "deploy/days").glob("*.toml"))


class TestDays:
    def test_days_exist(self):
        assert len(DAYS) >= 6

    @pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
    def test_has_a_description_and_the_name_of_its_file(self, path):
        text = path.read_text(encoding="utf-8")
        assert text.startswith("# ")
        day = tomllib.loads(text)
        assert day["name"] == path.stem

    @pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
    def test_each_planned_fault_has_a_kind_and_a_time(self, path):
        day = tomllib.loads(path.read_text(encoding="utf-8"))
        faults = day.get("plan", []) + day.get("faults", [])
        assert faults
        latest = day["length_s"] - END_MARGIN_S if "length_s" in day else LATEST_S
        for fault in faults:
            assert fault["kind"].replace("_", "").isalpha()
            assert 0.0 <= fault["at"] <= latest
