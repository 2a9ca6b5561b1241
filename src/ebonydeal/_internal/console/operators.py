"""Operators: who may sign in, by the salted hash of a token."""

from hashlib import sha256
from typing import NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.utils.keys import key_matches

_STAMP_LENGTH = 16


class Operator(NamedTuple):
    """One operator; ``hashed`` is the salted hash of the token."""

    name: str
    hashed: str

    @property
    def stamp(self) -> str:
        """Changes with the token, so that old sessions end with it."""
        return sha256(self.hashed.encode()).hexdigest()[:_STAMP_LENGTH]


class Operators:
    """All operators of the settings.

    Parameters
    ----------
    operators : iterable of Operator
        Names are unique.
    """

    def __init__(self, operators: tuple[Operator, ...]) -> None:
        self._by_name = {operator.name: operator for operator in operators}

    @classmethod
    def from_config(cls, text: str) -> "Operators":
        """Build from ``name:hash, name:hash``; raises BAD_SETTINGS."""
        operators = []
        for part in filter(None, (part.strip() for part in text.split(","))):
            name, sep, hashed = part.partition(":")
            if not (name.strip() and sep and "$" in hashed):
                raise EbonydealError(
                    ErrorKind.BAD_SETTINGS,
                    "[console] operators must be name:hash, comma separated, with "
                    "hashes from 'ebonydeal key new'.",
                )
            operators.append(Operator(name.strip(), hashed.strip()))
        return cls(tuple(operators))

    def by_token(self, token: str) -> Operator | None:
        """Return whose token this is; all hashes are tried, whatever matches."""
        found = None
        for operator in self._by_name.values():
            if key_matches(token, operator.hashed):
                found = operator
        return found

    def by_name(self, name: str) -> Operator | None:
        """Return an operator who still may sign in, or None."""
        return self._by_name.get(name)
