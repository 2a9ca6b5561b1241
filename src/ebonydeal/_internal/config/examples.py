"""Example documents of two fleets, shipped with the package."""

import json
from importlib.resources import files
from typing import Any

EXAMPLE_NAMES = ("cadwaladr", "palermo")

# One key for each client account of the examples. They are public, so a document
# for production must replace their hashes.
DEMO_KEYS: dict[str, str] = {
    "breakfast": "demo-breakfast",
    "duty-managers": "demo-duty-managers",
    "front-desks": "demo-front-desks",
    "stores": "demo-stores",
    "accounts-office": "demo-accounts-office",
    "porters": "demo-porters",
    "dispatch": "demo-dispatch",
    "hotel-desks": "demo-hotel-desks",
    "claims": "demo-claims",
    "city-office": "demo-city-office",
}


def example_document(name: str) -> dict[str, Any]:
    """Return a fresh copy of an example document; raises KeyError if unknown."""
    if name not in EXAMPLE_NAMES:
        raise KeyError(name)
    path = files("ebonydeal._internal.config") / "example_documents" / f"{name}.json"
    return json.loads(path.read_text(encoding="utf-8"))
