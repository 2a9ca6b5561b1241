"""``ebonydeal bench``: measurements."""

import click

from ebonydeal._internal.commands.bench_capacity import capacity_command
from ebonydeal._internal.commands.bench_gateway import gateway_command
from ebonydeal._internal.commands.bench_journal import journal_command
from ebonydeal._internal.commands.bench_load import load_command
from ebonydeal._internal.commands.bench_peers import peers_command
from ebonydeal._internal.commands.bench_reclaim import reclaim_command
from ebonydeal._internal.commands.bench_rollouts import rollouts_command
from ebonydeal._internal.commands.bench_routing import routing_command
from ebonydeal._internal.commands.bench_spend import spend_command


@click.group("bench")
def bench_command() -> None:
    """Measure a running system or its decision logic."""


bench_command.add_command(gateway_command)
bench_command.add_command(load_command)
bench_command.add_command(journal_command)
bench_command.add_command(routing_command)
bench_command.add_command(spend_command)
bench_command.add_command(reclaim_command)
bench_command.add_command(peers_command)
bench_command.add_command(capacity_command)
bench_command.add_command(rollouts_command)
