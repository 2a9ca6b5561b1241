"""``ebonydeal quickstart``: the whole system in one process, under load."""

import asyncio
import json
import sys

import click
from mode import Service

from ebonydeal._internal.commands.quickstart_run import (
    QuickstartOptions,
    run_quickstart,
)
from ebonydeal._internal.commands.quickstart_system import ACCOUNT, OPERATOR, build
from ebonydeal._internal.observe.logs import configure_logs
from ebonydeal._internal.settings.sections import LogSettings
from ebonydeal._internal.standin.admin import PlatformAdmin
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.run import run_program


class _Serve(Service):
    """The quickstart's system, which runs until it is stopped."""

    def __init__(self, seed: int, gateways: int) -> None:
        super().__init__()
        self._system = build(seed, gateways, SystemClock(), click.echo)
        self._admin = PlatformAdmin(self._system.tree.world)
        self.add_dependency(self._system.tree)
        self.add_dependency(self._admin)

    async def on_started(self) -> None:
        """Print the addresses and credentials that a user needs."""
        system = self._system
        for url in system.gateway_urls():
            click.echo(f"gateway: {url}")
        click.echo(f"API key of {ACCOUNT}: {system.api_key}")
        click.echo(f"console: {system.console_url()}")
        click.echo(f"operator token of {OPERATOR}: {system.operator_token}")
        click.echo(f"platform pages: {self._admin.url}/endpoints and /log")
        click.echo("Stop with Ctrl-C.")


@click.command("quickstart")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(2, 600), default=20.0, show_default=True
)
@click.option("--gateways", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--serve", is_flag=True, help="Keep the system running, without load.")
@click.option("--json", "only_json", is_flag=True, help="Print the figures only.")
def quickstart_command(
    seed: int, seconds: float, gateways: int, serve: bool, only_json: bool
) -> None:
    """Run the whole system on a stand-in platform, and reclaim a zone midway.

    The last line printed is one JSON object. The exit code is 0 only if no response
    was lost, duplicated or wrong and requests of every kind were sent.
    """
    configure_logs(LogSettings(level="error"))
    if serve:
        sys.exit(run_program(lambda: _Serve(seed, gateways)))
    options = QuickstartOptions(seed=seed, seconds=seconds, gateways=gateways)
    result = asyncio.run(run_quickstart(options, _discard if only_json else click.echo))
    click.echo(json.dumps(result))
    sys.exit(0 if result["ok"] else 1)


def _discard(_line: str) -> None:
    """Print nothing."""
