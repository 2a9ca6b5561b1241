"""Which instances are gone, and not only missing from one answer."""

from collections.abc import Mapping, Set


class MissingInstances:
    """Counts for how long instances have been missing from the cloud's list.

    An instance is gone when it has been missing for ``grace`` seconds, or in two
    lists in a row while its engine doesn't answer either.

    Parameters
    ----------
    grace : float
        Seconds.
    """

    def __init__(self, grace: float) -> None:
        self._grace = grace
        self._since: dict[str, float] = {}

    def update(
        self,
        tokens: Set[str],
        listed: Mapping[str, object],
        answering: Set[str],
        now: float,
    ) -> set[str]:
        """Take in one list; return the tokens that are gone.

        Parameters
        ----------
        tokens : set of str
            Instances that should be there.
        listed : mapping
            The list, by token.
        answering : set of str
            Tokens of instances whose engine answers.
        now : float
            Monotonic seconds.
        """
        missing = {token for token in tokens if token not in listed}
        gone = set()
        for token in missing & self._since.keys():
            silent = token not in answering
            if silent or now - self._since[token] >= self._grace:
                gone.add(token)
        self._since = {token: self._since.get(token, now) for token in missing}
        return gone
