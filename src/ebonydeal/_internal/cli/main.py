"""Entry point of ``ebonydeal``, the operators' command line."""

import click

from ebonydeal import __version__
from ebonydeal._internal.commands.bench import bench_command
from ebonydeal._internal.commands.document import document_command
from ebonydeal._internal.commands.explain import explain_command
from ebonydeal._internal.commands.key import key_command
from ebonydeal._internal.commands.quarantine import quarantine_command
from ebonydeal._internal.commands.quickstart import quickstart_command
from ebonydeal._internal.commands.reclaims import reclaims_command
from ebonydeal._internal.commands.rollout import rollout_command
from ebonydeal._internal.commands.settings import settings_command
from ebonydeal._internal.commands.soak import soak_command
from ebonydeal._internal.commands.spend import spend_command
from ebonydeal._internal.commands.standin import standin_command
from ebonydeal._internal.commands.status import endpoints_command, status_command
from ebonydeal._internal.commands.story import story_command


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Serve language models and plain services on reclaimable instances."""


main.add_command(bench_command)
main.add_command(explain_command)
main.add_command(story_command)
main.add_command(quarantine_command)
main.add_command(rollout_command)
main.add_command(quickstart_command)
main.add_command(standin_command)
main.add_command(soak_command)
main.add_command(key_command)
main.add_command(settings_command)
main.add_command(document_command)
main.add_command(status_command)
main.add_command(endpoints_command)
main.add_command(reclaims_command)
main.add_command(spend_command)
