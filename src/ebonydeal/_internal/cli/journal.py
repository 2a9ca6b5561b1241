"""Entry point of ``ebonydeal-journal``."""

from ebonydeal._internal.cli.program import program_command
from ebonydeal._internal.journal.program import JournalProgram

main = program_command(
    "ebonydeal-journal",
    "Store accepted requests and run them to completion.",
    JournalProgram.from_config,
)
