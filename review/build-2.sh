#!/bin/bash
# Builds the stand-ins of the cases 6 to 10: Python files, which run on the packages that
# the deploy file's build has put under target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c "import aiohttp" || exit 2
python3 -m compileall -q review/standins-2 || exit 2
