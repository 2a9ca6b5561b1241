"""All sections: the example parses to the defaults, and secrets are masked."""

import pytest
from click.testing import CliRunner
from returns.result import Success

from ebonydeal._internal.cli.main import main
from ebonydeal._internal.settings.parse import parse_settings
from ebonydeal._internal.settings.reading import key_specs
from ebonydeal._internal.settings.registry import ALL_SECTIONS
from ebonydeal._internal.settings.text import example_text, settings_text


def run(*args):
    return CliRunner().invoke(main, ["settings", *args])


class TestExample:
    def test_parses_to_the_defaults(self):
        parsed = parse_settings(example_text(ALL_SECTIONS), "x.ini", ALL_SECTIONS)
        assert parsed == Success({name: cls() for name, cls in ALL_SECTIONS.items()})

    def test_lists_and_explains_every_key(self):
        lines = example_text(ALL_SECTIONS).splitlines()
        for cls in ALL_SECTIONS.values():
            for spec in key_specs(cls):
                assert spec.key.help
                (index,) = [
                    i
                    for i, line in enumerate(lines)
                    if line.startswith(f"{spec.name} =")
                    and spec.key.help in lines[i - 1]
                ]
                assert spec.accepted() in lines[index - 1]

    @pytest.mark.parametrize("name", ALL_SECTIONS)
    def test_every_section_has_a_description(self, name):
        assert (ALL_SECTIONS[name].__doc__ or "").startswith(f"``[{name}]``: ")


class TestShow:
    def test_masks_secrets(self, tmp_path):
        file = tmp_path / "node.ini"
        file.write_text("[peers]\ncredential = hush-hush\n[node]\nid = n7\n")
        shown = run("show", str(file)).output
        assert "hush-hush" not in shown
        assert "credential = ***" in shown
        assert "id = n7" in shown

    def test_output_is_a_valid_settings_file(self):
        values = {name: cls() for name, cls in ALL_SECTIONS.items()}
        text = settings_text(values, ALL_SECTIONS)
        assert isinstance(parse_settings(text, "x.ini", ALL_SECTIONS), Success)


class TestCheck:
    def test_all_mistakes_are_reported(self, tmp_path):
        file = tmp_path / "node.ini"
        file.write_text(
            "[node]\nidd = n7\ndrain_seconds = long\n"
            "[logs]\nformat = yaml\n[platfrm]\nx = 1\n[console]\nport = 99999\n"
        )
        result = run("check", str(file))
        assert result.exit_code == 2
        reported = [line for line in result.output.splitlines() if str(file) in line]
        assert len(reported) == 5
        assert "Traceback" not in result.output

    @pytest.mark.parametrize("content", [b"\xff\xfe\x00", b"no section\n", b"[a\n"])
    def test_unreadable_file_is_reported(self, tmp_path, content):
        file = tmp_path / "node.ini"
        file.write_bytes(content)
        result = run("check", str(file))
        assert result.exit_code == 2
        assert str(file) in result.output
        assert isinstance(result.exception, SystemExit)

    def test_missing_file_is_reported(self, tmp_path):
        result = run("check", str(tmp_path / "none.ini"))
        assert result.exit_code == 2
        assert "can't be read" in result.output

    def test_valid_file_has_no_mistakes(self, tmp_path):
        file = tmp_path / "node.ini"
        file.write_text(run("example").output)
        result = run("check", str(file))
        assert (result.exit_code, result.output) == (0, f"{file}: no mistakes\n")
