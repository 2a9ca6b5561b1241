import importlib.util
import re
import tomllib
from configparser import ConfigParser

import pytest

from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.settings.keys import ENV_PREFIX
from ebonydeal._internal.settings.parse import parse_settings
from ebonydeal._internal.settings.registry import ALL_SECTIONS
from ebonydeal._internal.settings.sections import NodeSettings
from tests.lib.pages import ROOT

PROGRAMS = ("gateway", "journal", "controller", "console")
KEYS = {
    f"{ENV_PREFIX}{section}_{key}".upper()
    for section, cls in ALL_SECTIONS.items()
    for key in cls._fields
}


def unit(program):
    """Return a unit's service section, and the environment that it sets."""
    lines = (ROOT / f"deploy/ebonydeal-{program}.service").read_text().splitlines()
    env = dict(
        line.removeprefix("Environment=").split("=", 1)
        for line in lines
        if line.startswith("Environment=")
    )
    parser = ConfigParser(interpolation=None, strict=False)
    parser.optionxform = str
    parser.read_string("\n".join(lines))
    return parser["Service"], env


class TestUnits:
    def test_there_is_one_for_each_program(self):
        units = {f"ebonydeal-{program}.service" for program in PROGRAMS}
        files = {file.name for file in (ROOT / "deploy").iterdir()}
        assert files == units | {"system.toml", "relay.ini", "days"}

    @pytest.mark.parametrize("program", PROGRAMS)
    def test_starts_its_program(self, program):
        service, _ = unit(program)
        words = service["ExecStart"].split()
        assert words[0].endswith(f"/bin/ebonydeal-{program}")
        assert words[1] == "--settings"

    @pytest.mark.parametrize("program", PROGRAMS)
    def test_waits_longer_than_a_drain(self, program):
        service, _ = unit(program)
        drain = NodeSettings().drain_seconds + GatewaySettings().settle_seconds
        assert int(service["TimeoutStopSec"]) > drain
        assert service["KillSignal"] == "SIGTERM"

    def test_sets_real_keys_that_differ(self):
        envs = [unit(program)[1] for program in PROGRAMS]
        assert set().union(*envs) <= KEYS
        for key in ("EBONYDEAL_NODE_ID", "EBONYDEAL_PEERS_PORT"):
            assert len({env[key] for env in envs}) == len(PROGRAMS)


class TestPlatformFiles:
    """The deploy file of the users' platform, and the settings it renders."""

    def test_runs_the_relay_from_the_built_package(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["relay"]
        words = role["run"].split()
        # Without the machine's own packages: all that is needed is built.
        assert words[:4] == ["python3", "-S", "-m", "ebonydeal._internal.cli.relay"]
        assert importlib.util.find_spec(words[3]) is not None
        assert role["template"] == "deploy/relay.ini"
        assert "target/deps" in deploy["build"]

    @pytest.mark.parametrize("optional", [True, False])
    def test_template_renders_the_products_own_settings(self, optional):
        text = (ROOT / "deploy/relay.ini").read_text()
        assert len(text.encode()) < 64 * 1024
        # A section is rendered where the deployment sets its value.
        sections = r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}"
        text = re.sub(sections, r"\2" if optional else "", text, flags=re.DOTALL)
        assert "{{#" not in text and "{{/" not in text
        filled = re.sub(r"\{\{[^}]*\}\}", "1", text)
        settings = parse_settings(filled, "relay.ini", ALL_SECTIONS).unwrap()
        assert settings["relay"].address == "1"
        assert (settings["relay"].expose_slack == 1.0) is optional


class TestPage:
    def test_its_settings_are_real(self):
        text = (ROOT / "docs/operate/deploy.md").read_text()
        shown = text.split("```ini\n")
        file = ConfigParser(interpolation=None)
        file.read_string(shown[1].split("```")[0])
        for section in file.sections():
            assert set(file[section]) <= set(ALL_SECTIONS[section]._fields)
        names = {
            line.split("=")[0] for line in shown[2].split("```")[0].splitlines() if line
        }
        assert names <= KEYS
