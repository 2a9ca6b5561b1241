"""Detects gone instances, as opposed to those missing from one list."""

from collections.abc import Mapping, Set


class MissingInstances:
    """Tracks for how long instances have been missing from the cloud's list.

    An instance is gone if it has been missing for ``grace`` seconds, or from two
    consecutive lists while its engine doesn't answer either.

    Parameters
    ----------
    grace : float
        Seconds for which an instance may be missing.
    """

    def __init__(self, grace: float) -> None:
        self._grace = grace
        self._missing_since: dict[str, float] = {}

    def update(
        self,
        tokens: Set[str],
        listed: Mapping[str, object],
        answering: Set[str],
        now: float,
    ) -> set[str]:
        """Process one list; return the tokens of instances that are gone.

        Parameters
        ----------
        tokens : set of str
            Tokens of instances that should be listed.
        listed : mapping
            The list, by token.
        answering : set of str
            Tokens of instances whose engine answers.
        now : float
            Monotonic seconds.
        """
        missing = {token for token in tokens if token not in listed}
        gone = set()
        for token in missing & self._missing_since.keys():
            unreachable = token not in answering
            if unreachable or now - self._missing_since[token] >= self._grace:
                gone.add(token)
        self._missing_since = {
            token: self._missing_since.get(token, now) for token in missing
        }
        return gone
