"""Every scenario in ``deploy/days`` can be parsed and describes its faults."""

import tomllib

import pytest

from tests.lib.pages import ROOT

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
        for fault in faults:
            assert fault["kind"].replace("_", "").isalpha()
            assert 0.0 <= fault["at"] <= 40.0
