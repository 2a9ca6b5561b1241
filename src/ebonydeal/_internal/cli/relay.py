"""Entry point of ``ebonydeal-relay``: opens its sockets, then loads the rest.

All that a killed relay's clients meet until it serves again is its start, so what
takes long to load is loaded when it is first used. The command line's library is
one of these: it is needed where something is wrong or help is asked for.
"""

import gc
import os
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from ebonydeal._internal.utils.early_listen import open_listeners
from ebonydeal._internal.utils.lazy_modules import register_lazy_modules

if TYPE_CHECKING:
    import click

_OPTION = "--settings"
# Of a library's modules, those whose functions a relay doesn't call. Loading what
# they load takes 30 ms.
_UNUSED = {"mode.utils.cron": ("secs_for_next",)}


def _plain_settings(args: Sequence[str]) -> dict[str, Any] | None:
    """Return the settings where the arguments and the file are as usual."""
    from ebonydeal._internal.settings.reading import read_sections
    from ebonydeal._internal.settings.registry import ALL_SECTIONS

    if len(args) != 2 or args[0] != _OPTION:
        return None
    try:
        with open(args[1], encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError):
        return None
    settings, problems = read_sections(text, args[1], ALL_SECTIONS)
    return None if problems else settings


def _reread(file: str) -> dict[str, Any] | None:
    """Return the settings as they are now, or None with every mistake logged."""
    from pathlib import Path

    from ebonydeal._internal.commands.settings import reread_settings

    return reread_settings(Path(file))


def relay_command(opened: Sequence[int] = ()) -> "click.Command":
    """Return the command line of the relay."""
    from functools import partial

    from ebonydeal._internal.cli.program import program_command
    from ebonydeal._internal.cli.relay_program import build

    return program_command(
        "ebonydeal-relay",
        "Forward requests by host and path to endpoints, without reading bodies.",
        partial(build, opened=opened),
    )


def _run(settings: dict[str, Any], file: str, opened: Sequence[int]) -> int:
    """Run the relay; return an exit code."""
    from functools import partial

    from ebonydeal._internal.cli.relay_program import build
    from ebonydeal._internal.utils.run import start_program

    # What was loaded stays for good.
    gc.freeze()
    gc.enable()
    return start_program(
        partial(build, opened=opened), settings, partial(_reread, file)
    )


def main() -> None:
    """Run the relay; its clients may connect while it loads."""
    args = sys.argv[1:]
    opened = open_listeners(args, "relay", ("address", "ready_address"))
    # Nothing that loading makes is garbage; looking for some takes a tenth of it.
    gc.disable()
    # A relay speaks no TLS, and reading the system's certificates, which the HTTP
    # library does when it is loaded, takes 90 ms.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    register_lazy_modules(_UNUSED)
    settings = _plain_settings(args)
    if settings is None:
        gc.enable()
        relay_command(opened)()
    else:
        sys.exit(_run(settings, args[1], opened))


if __name__ == "__main__":
    main()
