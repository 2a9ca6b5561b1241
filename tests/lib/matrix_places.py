"""What operators and the users of a place see of the configuration."""

from dataclasses import dataclass, field
from typing import Any


@dataclass
class Place:
    """What its users see: the versions in force, with their times."""

    name: str
    instance: Any
    seen: list[tuple[float, int, int]] = field(default_factory=list)
    starts: int = 0


@dataclass
class Proposal:
    """One operator's change, and what the operator was told last."""

    operator: str
    most: int
    id: str
    version: int = 0
    refused: bool = False
