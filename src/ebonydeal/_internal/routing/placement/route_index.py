"""Looks up forwarded routes by host and path, and client accounts by API key."""

from random import Random

from ebonydeal._internal.models.forwarding import ForwardAccount, Route, RouteTable


class RouteIndex:
    """An index of one version of the routes.

    Parameters
    ----------
    table : RouteTable
        Routes and accounts as operators declared them.
    """

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        self._by_key = {
            key: account for account in table.accounts for key in account.keys
        }

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of ``path``, or None.

        Prefixes end with a slash, so the number of look-ups is at most the number of
        slashes in the path, however many routes a host has.
        """
        prefixes = self._by_host.get(normalize_host(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def account(self, key: str) -> ForwardAccount | None:
        """Return the client account to which ``key`` belongs, or None."""
        return self._by_key.get(key)


def normalize_host(host: str) -> str:
    """Return a ``Host`` header value in lower case and without its port."""
    host = host.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def pick_service(route: Route, rng: Random) -> str:
    """Return one of the route's services, drawn by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [max(0.0, target.weight) for target in route.targets]
    if sum(weights) <= 0.0:
        return route.targets[0].service
    return rng.choices([target.service for target in route.targets], weights)[0]
