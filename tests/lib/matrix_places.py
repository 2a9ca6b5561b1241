"""The configuration as operators and the users of a place observe it."""

from dataclasses import dataclass, field
from typing import Any


@dataclass
class Place:
    """An instance and its replacements, with the versions in force and their times."""

    name: str
    instance: Any
    versions_seen: list[tuple[float, int, int]] = field(default_factory=list)
    starts: int = 0


@dataclass
class Proposal:
    """One operator's change and its last reported outcome."""

    operator: str
    max_replicas: int
    id: str
    version: int = 0
    refused: bool = False
