"""Our own days: each can be read, and tells which trouble it shows."""

import tomllib

import pytest

from tests.lib.pages import ROOT

DAYS = sorted((ROOT / "deploy/days").glob("*.toml"))


class TestDays:
    def test_there_are_some(self):
        assert len(DAYS) >= 6

    @pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
    def test_bears_its_files_name_and_says_what_it_shows(self, path):
        text = path.read_text(encoding="utf-8")
        assert text.startswith("# ")
        day = tomllib.loads(text)
        assert day["name"] == path.stem

    @pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
    def test_each_trouble_has_a_kind_and_a_time(self, path):
        day = tomllib.loads(path.read_text(encoding="utf-8"))
        troubles = day.get("plan", []) + day.get("faults", [])
        assert troubles
        for trouble in troubles:
            assert trouble["kind"].replace("_", "").isalpha()
            assert 0.0 <= trouble["at"] <= 40.0
