"""Entry point of ``ebonydeal-relay``: opens its sockets, then loads the program.

Clients of a relay that was killed wait until it has started again. Modules that take
long to load are therefore imported on first use, such as the command line library,
which is only needed to report mistakes or print help.
"""

import gc
import os
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from ebonydeal._internal.utils.early_listen import open_listeners
from ebonydeal._internal.utils.early_signals import hold_reload
from ebonydeal._internal.utils.lazy_modules import register_lazy_modules

if TYPE_CHECKING:
    import click

_OPTION = "--settings"
# Library modules whose functions a relay doesn't call, by module. Loading them with
# their imports takes 30 ms.
_LAZY_MODULES = {"mode.utils.cron": ("secs_for_next",)}


def _read_settings(args: Sequence[str]) -> dict[str, Any] | None:
    """Return the settings, or None for other arguments or a file with mistakes."""
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
    """Return the current settings, or None after logging every mistake."""
    from pathlib import Path

    from ebonydeal._internal.commands.settings import reread_settings

    return reread_settings(Path(file))


def relay_command(opened: Sequence[int] = ()) -> "click.Command":
    """Return the command line; ``opened`` are sockets that already listen."""
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

    # Loaded modules are never garbage, so the collector can skip them.
    gc.freeze()
    gc.enable()
    return start_program(
        partial(build, opened=opened), settings, partial(_reread, file)
    )


def main() -> None:
    """Run the relay; clients can connect while it loads."""
    hold_reload()
    args = sys.argv[1:]
    opened = open_listeners(args, "relay", ("address", "ready_address"))
    # Loading creates no garbage; collecting would take a tenth of the loading time.
    gc.disable()
    # A relay doesn't use TLS. The HTTP library loads the certificates of the system on
    # import, which takes 90 ms.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    register_lazy_modules(_LAZY_MODULES)
    settings = _read_settings(args)
    if settings is None:
        gc.enable()
        relay_command(opened)()
    else:
        sys.exit(_run(settings, args[1], opened))


if __name__ == "__main__":
    main()
