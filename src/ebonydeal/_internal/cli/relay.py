"""Entry point of ``ebonydeal-relay``: opens its sockets, then loads the rest."""

import sys

from ebonydeal._internal.utils.earlybind import open_early


def main() -> None:
    """Run the relay; its clients may connect while it loads."""
    opened = open_early(sys.argv[1:], "relay", ("address", "ready_address"))
    # Not at the top: loading these takes a few tenths of a second, and the
    # sockets are to be open by then.
    from ebonydeal._internal.cli.relay_program import relay_command

    relay_command(opened)()


if __name__ == "__main__":
    main()
