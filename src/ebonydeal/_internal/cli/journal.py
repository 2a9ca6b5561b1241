"""Entry point of ``ebonydeal-journal``."""

from ebonydeal._internal.cli.program import program_command
from ebonydeal._internal.journal.program import JournalProgram

main = program_command(
    "ebonydeal-journal",
    "Keep accepted requests, and run them to their end.",
    JournalProgram.from_config,
)
