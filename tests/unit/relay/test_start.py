"""A killed relay is away for as long as its start takes: it loads what it uses."""

import subprocess
import sys
from pathlib import Path

import ebonydeal

SOURCES = Path(ebonydeal.__file__).parent.parent

# Forms, pages, validation of documents and keys belong to other programs.
NEEDLESS = (
    "jsonschema",
    "jinja2",
    "wtforms",
    "itsdangerous",
    "cryptography",
    "openai",
    # Loaded when they are first used.
    "click",
    "croniter",
    "prometheus_client",
    "returns",
)
LIST = (
    "import sys, ebonydeal._internal.cli.relay as relay;"
    "relay.load_late(relay._UNUSED);"
    "import ebonydeal._internal.cli.relay_program, ebonydeal._internal.utils.run;"
    "print('\\n'.join(sorted(m.partition('.')[0] for m in sys.modules)))"
)


class TestImports:
    def test_sockets_are_open_before_anything_heavy_is_loaded(self):
        early = "import sys, ebonydeal._internal.cli.relay;" + LIST.rpartition(";")[2]
        done = subprocess.run(
            [sys.executable, "-S", "-c", early],
            capture_output=True,
            text=True,
            check=True,
            env={"PYTHONPATH": str(SOURCES)},
        )
        heavy = {"asyncio", "aiohttp", "mode", "structlog", "click", "returns"}
        assert set(done.stdout.split()).isdisjoint(heavy)

    def test_a_relay_loads_nothing_that_only_other_programs_use(self):
        done = subprocess.run(
            [sys.executable, "-c", LIST], capture_output=True, text=True, check=True
        )
        assert set(done.stdout.split()).isdisjoint(NEEDLESS)

    def test_nor_any_other_program(self):
        names = LIST.replace("m.partition('.')[0]", "m")
        done = subprocess.run(
            [sys.executable, "-c", names], capture_output=True, text=True, check=True
        )
        others = ("gateway", "journal", "controller", "console", "standin", "soak")
        loaded = done.stdout.split()
        for program in others:
            prefix = f"ebonydeal._internal.{program}."
            assert not [name for name in loaded if name.startswith(prefix)]
