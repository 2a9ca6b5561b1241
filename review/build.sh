#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: they are Python, so they are compiled.
# Needs the build of deploy/system.toml (target/deps) before it.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import ast
from pathlib import Path

import aiohttp

for path in sorted(Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("stand-ins checked, aiohttp", aiohttp.__version__)
PY
