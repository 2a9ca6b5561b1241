"""The start of a relay must be short, so it loads only modules that it uses."""

import subprocess
import sys
from pathlib import Path

import ebonydeal

SOURCES = Path(ebonydeal.__file__).parent.parent

# Only other programs use forms, pages, validation of documents, and keys.
NEEDLESS = (
    "jsonschema",
    "jinja2",
    "wtforms",
    "itsdangerous",
    "cryptography",
    "openai",
    # Loaded on first use.
    "click",
    "croniter",
    "prometheus_client",
    "returns",
)
LIST = (
    "import sys, ebonydeal._internal.cli.relay as relay;"
    "relay.register_lazy_modules(relay._LAZY_MODULES);"
    "import ebonydeal._internal.cli.relay_program, ebonydeal._internal.utils.run;"
    "print('\\n'.join(sorted(m.partition('.')[0] for m in sys.modules)))"
)


class TestImports:
    def test_sockets_are_open_before_large_modules_are_loaded(self):
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

    def test_a_relay_loads_no_packages_of_other_programs(self):
        done = subprocess.run(
            [sys.executable, "-c", LIST], capture_output=True, text=True, check=True
        )
        assert set(done.stdout.split()).isdisjoint(NEEDLESS)

    def test_a_relay_loads_no_modules_of_other_programs(self):
        names = LIST.replace("m.partition('.')[0]", "m")
        done = subprocess.run(
            [sys.executable, "-c", names], capture_output=True, text=True, check=True
        )
        others = ("gateway", "journal", "controller", "console", "standin", "soak")
        loaded = done.stdout.split()
        for program in others:
            prefix = f"ebonydeal._internal.{program}."
            assert not [name for name in loaded if name.startswith(prefix)]
