"""Entry point of ``ebonydeal-controller``."""

from ebonydeal._internal.cli.program import program_command
from ebonydeal._internal.controller.program import ControllerProgram

main = program_command(
    "ebonydeal-controller",
    "Start, place and release the instances of endpoints at the lowest cost.",
    ControllerProgram.from_config,
)
