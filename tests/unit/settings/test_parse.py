"""Settings are typed and validated; all mistakes are reported together."""

from returns.result import Success

from ebonydeal._internal.settings.parse import parse_settings
from ebonydeal._internal.settings.sections import (
    LogSettings,
    NodeSettings,
    PlatformSettings,
)

SECTIONS = {"node": NodeSettings, "logs": LogSettings, "platform": PlatformSettings}


class TestParseSettings:
    def test_empty_file_gives_the_defaults(self):
        parsed = parse_settings("", "x.ini", SECTIONS).unwrap()
        assert parsed["node"] == NodeSettings()

    def test_values_are_converted_to_their_types(self):
        text = "[node]\nid = n7\ndrain_seconds = 3\n"
        parsed = parse_settings(text, "x.ini", SECTIONS).unwrap()
        assert parsed["node"].drain_seconds == 3.0

    def test_all_mistakes_are_reported(self):
        text = (
            "[node]\nidd = n7\ndrain_seconds = long\n"
            "[logs]\nformat = yaml\n[platfrm]\nx = 1\n[platform]\ntimeout = 900\n"
        )
        problems = parse_settings(text, "x.ini", SECTIONS).failure()
        lines = [str(problem) for problem in problems]
        assert len(lines) == 5
        assert any("did you mean 'id'" in line for line in lines)
        assert any("did you mean 'platform'" in line for line in lines)
        assert any("one of human, json" in line for line in lines)

    def test_environment_overrides_the_file(self, monkeypatch):
        monkeypatch.setenv("EBONYDEAL_NODE_ID", "from-env")
        parsed = parse_settings("[node]\nid = a\n", "x.ini", SECTIONS)
        assert isinstance(parsed, Success)
        assert parsed.unwrap()["node"].id == "from-env"
