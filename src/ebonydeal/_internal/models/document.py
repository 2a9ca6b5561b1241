"""The configuration document as typed values.

Its format is JSON (see ``config/schema.json``); these values are built from a document
that has already been validated.
"""

from typing import Any, NamedTuple

from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Priority


class Account(NamedTuple):
    """A client account and its limits.

    Attributes
    ----------
    name : str
        Client account name.
    key_hashes : tuple of str
        Salted hashes of the account's API keys (see `utils.keys`).
    requests_per_s, tokens_per_s : float
        Limits over all gateways together; 0 means no limit.
    concurrency : int
        Requests in flight over all gateways together; 0 means no limit.
    priority : Priority
        Highest priority class that this account may request.
    """

    name: str
    key_hashes: tuple[str, ...]
    requests_per_s: float
    tokens_per_s: float
    concurrency: int
    priority: Priority

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> "Account":
        """Build from the document's JSON object."""
        return cls(
            name=config["name"],
            key_hashes=tuple(config.get("key_hashes", ())),
            requests_per_s=float(config.get("requests_per_s", 0)),
            tokens_per_s=float(config.get("tokens_per_s", 0)),
            concurrency=int(config.get("concurrency", 0)),
            priority=Priority[config.get("priority", "standard").upper()],
        )


class CallRule(NamedTuple):
    """Whether certain calls of a plain service may be repeated.

    ``path`` is a prefix; the rule of the method with the longest match applies. A call
    without a matching rule may be repeated only if it is GET or HEAD.
    """

    method: str
    path: str
    idempotent: bool

    @classmethod
    def from_config(cls, config: dict[str, Any]) -> "CallRule":
        """Build from the document's JSON object."""
        return cls(config["method"].upper(), config["path"], bool(config["idempotent"]))


class Weights(NamedTuple):
    """A deployment's weights of money and of recomputed tokens.

    Each multiplies a cost in the document's currency; 1 is neutral.
    """

    cost: float
    recompute: float


class Deployment(NamedTuple):
    """A deployment as operators configured it.

    Attributes
    ----------
    name : str
        Also the plain service's name for ``kind`` ``"service"``.
    kind : str
        ``"engine"`` or ``"service"``.
    models, adapters : tuple of str
        Model names that callers may request; adapters are served as models.
    accounts : tuple of str
        Client accounts that may use it.
    zones : tuple of Place
        Places where its endpoints may run.
    priority : Priority
        Class of requests that specify none.
    price_ceiling : float
        Highest cost per hour of all its instances together.
    first_token_s, between_tokens_s : float
        Latency targets for 95 % of requests.
    weights : Weights
        Weights of money and of recomputed tokens.
    deadline_work : bool
        Whether deferred requests may wait for cheap hours.
    checks_fence : bool
        Whether its engines refuse orders with an old fencing token.
    min_replicas, max_replicas : int
        Bounds on replicas.
    calls : tuple of CallRule
        Which calls may be repeated, for plain services.
    """

    name: str
    kind: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    accounts: tuple[str, ...]
    zones: tuple[Place, ...]
    priority: Priority
    price_ceiling: float
    first_token_s: float
    between_tokens_s: float
    weights: Weights
    deadline_work: bool
    checks_fence: bool
    min_replicas: int
    max_replicas: int
    calls: tuple[CallRule, ...]

    @classmethod
    def from_config(
        cls, config: dict[str, Any], zones: dict[str, Place]
    ) -> "Deployment":
        """Build from the document's JSON object; ``zones`` maps zone names."""
        latency = config.get("latency", {})
        weights = config.get("weights", {})
        replicas = config.get("replicas", {})
        adapters = tuple(item["name"] for item in config.get("adapters", ()))
        return cls(
            name=config["name"],
            kind=config["kind"],
            models=tuple(config.get("models", ())),
            adapters=adapters,
            accounts=tuple(config.get("accounts", ())),
            zones=tuple(zones[name] for name in config["zones"]),
            priority=Priority[config.get("priority", "standard").upper()],
            price_ceiling=float(config["price_ceiling_per_hour"]),
            first_token_s=float(latency.get("first_token_s", 0.47)),
            between_tokens_s=float(latency.get("between_tokens_s", 0.047)),
            weights=Weights(
                float(weights.get("cost", 1.0)), float(weights.get("recompute", 1.0))
            ),
            deadline_work=bool(config.get("deadline_work", False)),
            checks_fence=bool(config.get("engines_check_fence", True)),
            min_replicas=int(replicas.get("min", 1)),
            max_replicas=int(replicas.get("max", 1)),
            calls=tuple(CallRule.from_config(item) for item in config.get("calls", ())),
        )

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a plain service call may be repeated."""
        rules = [
            rule
            for rule in self.calls
            if rule.method == method and path.startswith(rule.path)
        ]
        if not rules:
            return method in ("GET", "HEAD")
        return max(rules, key=lambda rule: len(rule.path)).idempotent


class Document(NamedTuple):
    """One version of the accepted configuration."""

    version: int
    accounts: dict[str, Account]
    deployments: dict[str, Deployment]
    places: dict[str, Place]

    @classmethod
    def from_config(cls, config: dict[str, Any], version: int) -> "Document":
        """Build from a validated document's JSON object."""
        places = {
            zone: Place(region["name"], zone)
            for region in config["regions"]
            for zone in region["zones"]
        }
        accounts = [Account.from_config(item) for item in config["accounts"]]
        deployments = [
            Deployment.from_config(item, places) for item in config["deployments"]
        ]
        return cls(
            version=version,
            accounts={account.name: account for account in accounts},
            deployments={item.name: item for item in deployments},
            places=places,
        )

    def for_model(self, model: str, account: str) -> Deployment | None:
        """Return the deployment that serves ``model`` to ``account``, if any."""
        for item in self.deployments.values():
            if account in item.accounts and model in item.models + item.adapters:
                return item
        return None


EMPTY_DOCUMENT = Document(0, {}, {}, {})
