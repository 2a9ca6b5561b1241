"""Run the operators' command line with ``python -m ebonydeal``."""

from ebonydeal._internal.cli.main import main

if __name__ == "__main__":
    main()
