"""Checks of references, ranges across fields and feasibility of a document."""

from collections.abc import Collection, Iterator, Sequence
from typing import Any

from ebonydeal._internal.config.problems import Path, Problem
from ebonydeal._internal.outside.interfaces import Offer

Item = dict[str, Any]

# Fields that can't be checked without the named one.
_DEPENDENT_FIELDS = {"models": ("adapters", "kind")}


def reference_problems(
    document: dict[str, Any],
    offers: Sequence[Offer] | None,
    rejected: Collection[Path] = (),
) -> list[Problem]:
    """Return every problem between and inside the items.

    Parameters
    ----------
    document : dict
        Its sections must be lists.
    offers : sequence of Offer or None
        For checking the feasibility of price ceilings.
    rejected : collection of paths
        Paths that the schema rejected. These fields are skipped here, and the rest
        of their items is still checked.
    """
    problems = list(_unique_names(document, rejected))
    zones = {zone for _, zone in _zones(document)}
    accounts = {name for _, name in _names(document, "accounts")}
    deployments = _valid_parts(document, "deployments", rejected)
    for index, item in deployments:
        path: Path = ("deployments", index)
        names = item.get("zones", [])
        problems.extend(_unknown_references(names, zones, (*path, "zones"), "zone"))
        names = item.get("accounts", [])
        problems.extend(
            _unknown_references(names, accounts, (*path, "accounts"), "account")
        )
        problems.extend(_replica_problems(item, path))
        problems.extend(_kind_problems(item, path))
        problems.extend(_adapter_problems(item, path))
        problems.extend(_call_problems(item, path))
    problems.extend(_shared_models(deployments))
    if offers is not None:
        problems.extend(price_problems(document, offers, rejected))
    return problems


def price_problems(
    document: dict[str, Any], offers: Sequence[Offer], rejected: Collection[Path] = ()
) -> list[Problem]:
    """Return problems of deployments that the current offers can't satisfy."""
    return [
        problem
        for index, item in _valid_parts(document, "deployments", rejected)
        for problem in _price_problems(item, ("deployments", index), offers)
    ]


def _valid_parts(
    document: dict[str, Any], section: str, rejected: Collection[Path]
) -> list[tuple[int, Item]]:
    """Return a section's items without the fields that the schema rejected."""
    bad: dict[int, set[str]] = {}
    for path in rejected:
        match path:
            case (str(name), int(index), str(field), *_) if name == section:
                bad.setdefault(index, set()).update(
                    (field, *_DEPENDENT_FIELDS.get(field, ()))
                )
    return [
        (index, {k: v for k, v in item.items() if k not in bad.get(index, ())})
        for index, item in enumerate(document[section])
        if isinstance(item, dict)
    ]


def _names(document: dict[str, Any], section: str) -> list[tuple[Path, str]]:
    """Return the names in a section, also of invalid items, with their paths."""
    return [
        ((section, index, "name"), item["name"])
        for index, item in enumerate(document[section])
        if isinstance(item, dict) and isinstance(item.get("name"), str)
    ]


def _zones(document: dict[str, Any]) -> list[tuple[Path, str]]:
    """Return the zones of all regions, with their paths."""
    found: list[tuple[Path, str]] = []
    for index, region in enumerate(document["regions"]):
        zones = region.get("zones") if isinstance(region, dict) else None
        for number, zone in enumerate(zones if isinstance(zones, list) else ()):
            if isinstance(zone, str):
                found.append((("regions", index, "zones", number), zone))
    return found


def _unique_names(
    document: dict[str, Any], rejected: Collection[Path]
) -> Iterator[Problem]:
    """Yield repeated names; names that differ only in case are the same."""
    for section in ("regions", "accounts", "deployments"):
        yield from _repeated_names(_names(document, section))
    if not any(path[:1] == ("regions",) for path in rejected):
        yield from _repeated_names(_zones(document))


def _repeated_names(names: list[tuple[Path, str]]) -> Iterator[Problem]:
    """Yield one problem for each name that occurred before."""
    seen: dict[str, str] = {}
    for path, name in names:
        earlier = seen.get(name.casefold())
        if earlier is not None:
            yield Problem(path, f"'{name}' is already taken by '{earlier}'")
        seen[name.casefold()] = name


def _unknown_references(
    names: list[str], known: set[str], path: Path, what: str
) -> Iterator[Problem]:
    """Yield references to items that the document doesn't contain."""
    for index, name in enumerate(names):
        if name not in known:
            listed = ", ".join(sorted(known)) or "none"
            yield Problem(
                (*path, index), f"no {what} is named '{name}'; there are: {listed}"
            )


def _replica_problems(item: Item, path: Path) -> Iterator[Problem]:
    """Yield limits of replicas that contradict each other."""
    replicas = item.get("replicas", {})
    low = replicas.get("min", 1)
    high = replicas.get("max", 1)
    if low > high:
        yield Problem(
            (*path, "replicas", "min"), f"min {low:g} is more than max {high:g}"
        )


def _kind_problems(item: Item, path: Path) -> Iterator[Problem]:
    """Yield keys that don't fit the kind."""
    kind = item.get("kind")
    if kind == "engine":
        if item.get("models", []) == []:
            yield Problem((*path, "models"), "an engine must have at least one model")
        if item.get("calls"):
            yield Problem((*path, "calls"), "only a plain service has calls")
    if kind != "service":
        return
    for key in ("models", "adapters"):
        if item.get(key):
            yield Problem((*path, key), f"a plain service has no {key}")
    if item.get("deadline_work"):
        yield Problem((*path, "deadline_work"), "only engines take deadline work")


def _adapter_problems(item: Item, path: Path) -> Iterator[Problem]:
    """Yield adapters of unknown models, and adapter names that are already used."""
    models = item.get("models", [])
    taken = set(models)
    for index, adapter in enumerate(item.get("adapters", [])):
        adapter_path = (*path, "adapters", index)
        if adapter["model"] not in models:
            listed = ", ".join(models) or "none"
            message = f"model '{adapter['model']}' is not in models: {listed}"
            yield Problem((*adapter_path, "model"), message)
        if adapter["name"] in taken:
            message = f"'{adapter['name']}' is already a model or adapter here"
            yield Problem((*adapter_path, "name"), message)
        taken.add(adapter["name"])


def _call_problems(item: Item, path: Path) -> Iterator[Problem]:
    """Yield second rules for the same calls."""
    seen: set[tuple[str, str]] = set()
    for index, call in enumerate(item.get("calls", [])):
        key = (call["method"], call["path"])
        if key in seen:
            message = f"{call['method']} {call['path']} already has a rule"
            yield Problem((*path, "calls", index), message)
        seen.add(key)


def _price_problems(item: Item, path: Path, offers: Sequence[Offer]) -> list[Problem]:
    """Return problems of a price ceiling that is too low for the current offers."""
    ceiling = item.get("price_ceiling_per_hour")
    if not item.get("zones") or ceiling is None:
        return []
    prices = [offer.price_per_hour for offer in offers if offer.zone in item["zones"]]
    ceiling_path = (*path, "price_ceiling_per_hour")
    if not prices:
        return [Problem((*path, "zones"), "no instance is offered in these zones")]
    cheapest = min(prices)
    if ceiling < cheapest:
        message = f"{ceiling:g} is under every offer; the cheapest is {cheapest:g}"
        return [Problem(ceiling_path, message)]
    low = item.get("replicas", {}).get("min", 1)
    if ceiling < cheapest * low:
        message = (
            f"{ceiling:g} can't pay for {low} replicas; at the cheapest offer "
            f"they cost {cheapest * low:g}"
        )
        return [Problem(ceiling_path, message)]
    return []


def _shared_models(deployments: list[tuple[int, Item]]) -> Iterator[Problem]:
    """Yield deployments that serve one model to the same account.

    Routing couldn't choose between them.
    """
    earlier: dict[str, list[Item]] = {}
    for index, item in deployments:
        names = [
            *item.get("models", []),
            *(a["name"] for a in item.get("adapters", [])),
        ]
        for name in dict.fromkeys(names):
            for other in earlier.setdefault(name, []):
                yield from _shared_model_problem(other, item, name, index)
            earlier[name].append(item)


def _shared_model_problem(
    first: Item, second: Item, model: str, index: int
) -> Iterator[Problem]:
    """Yield the problem of two deployments that serve ``model`` to one account."""
    accounts = set(first.get("accounts", ())) & set(second.get("accounts", ()))
    if accounts:
        name = first.get("name", "?")
        listed = ", ".join(sorted(accounts))
        message = f"'{name}' already serves {model} to {listed}"
        yield Problem(("deployments", index, "models"), message)
