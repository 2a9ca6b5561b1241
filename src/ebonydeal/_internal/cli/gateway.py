"""Entry point of ``ebonydeal-gateway``."""

from ebonydeal._internal.cli.program import program_command
from ebonydeal._internal.gateway.program import GatewayProgram

main = program_command(
    "ebonydeal-gateway",
    "Serve callers: models, plain services and deferred requests.",
    GatewayProgram.from_config,
)
