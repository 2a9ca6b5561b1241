"""Runs a relay whose connections can be made to fail."""

import runpy
import sys

from ebonydeal._internal.utils.early_signals import hold_reload

_RELAY = "ebonydeal._internal.cli.relay"


def main() -> None:
    """Run the relay with the command line that this process got."""
    # The relay's own entry does so before it loads, too.
    hold_reload()
    from ebonydeal._internal.soak.relay_connections import install_from_environment

    install_from_environment()
    sys.argv[0] = _RELAY
    runpy.run_module(_RELAY, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
