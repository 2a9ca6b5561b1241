"""Operators who may sign in, identified by the salted hashes of their tokens."""

from hashlib import sha256
from typing import NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.utils.keys import key_matches

_FINGERPRINT_LENGTH = 16


class Operator(NamedTuple):
    """One operator; ``token_hash`` is salted."""

    name: str
    token_hash: str

    @property
    def token_fingerprint(self) -> str:
        """A digest that changes with the token, which invalidates old sessions."""
        return sha256(self.token_hash.encode()).hexdigest()[:_FINGERPRINT_LENGTH]


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
            name, sep, token_hash = part.partition(":")
            if not (name.strip() and sep and "$" in token_hash):
                raise EbonydealError(
                    ErrorKind.BAD_SETTINGS,
                    "[console] operators must be name:hash, comma separated, with "
                    "hashes from 'ebonydeal key new'.",
                )
            operators.append(Operator(name.strip(), token_hash.strip()))
        return cls(tuple(operators))

    def by_token(self, token: str) -> Operator | None:
        """Return the token's operator; tries all hashes, even after a match."""
        found = None
        for operator in self._by_name.values():
            if key_matches(token, operator.token_hash):
                found = operator
        return found

    def by_name(self, name: str) -> Operator | None:
        """Return an operator who may still sign in, or None."""
        return self._by_name.get(name)
