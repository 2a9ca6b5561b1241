"""Forms of accounts and deployments, and their conversion to items."""

from collections.abc import Mapping
from typing import Any

from wtforms import BooleanField, Form, PasswordField, SelectField, StringField
from wtforms.fields.choices import SelectChoice

from ebonydeal._internal.config.problems import Path, Problem
from ebonydeal._internal.console.fields import (
    AdaptersField,
    CallsField,
    ChecksField,
    LinesField,
    NumberField,
    WholeNumberField,
)
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.utils.keys import hash_key

Item = dict[str, Any]

_PRIORITIES = [str(priority.name).lower() for priority in Priority]
_KINDS = [
    SelectChoice("engine", "model engine"),
    SelectChoice("service", "plain service"),
]

ACCOUNT_DEFAULTS: Item = {
    "title": "",
    "requests_per_s": 0,
    "tokens_per_s": 0,
    "concurrency": 0,
    "priority": "standard",
}
DEPLOYMENT_DEFAULTS: Item = {
    "title": "",
    "models": [],
    "adapters": [],
    "priority": "standard",
    "latency": {"first_token_s": 0.47, "between_tokens_s": 0.047},
    "weights": {"cost": 1.0, "recompute": 1.0},
    "deadline_work": False,
    "engines_check_fence": True,
    "replicas": {"min": 1, "max": 1},
    "calls": [],
}


class ItemForm(Form):
    """Base of the forms of accounts and deployments.

    ``field_paths`` maps a field's name to its path in the item.
    """

    field_paths: dict[str, tuple[str, ...]] = {}
    defaults: Item = {}

    @classmethod
    def from_item(cls, item: Item) -> "ItemForm":
        """Return a form filled with an item, or with the defaults if it is empty."""
        full = _with_defaults(cls.defaults, item)
        data = {name: _value_at(full, path) for name, path in cls.field_paths.items()}
        return cls(
            data={key: value for key, value in data.items() if value is not None}
        )

    def to_item(self, original: Item) -> Item:
        """Return the item that was entered, without fields that have errors.

        A value that the original omits and that still equals its default is
        omitted too, so that posting an unchanged form changes nothing.
        """
        built: Item = {}
        for name, path in self.field_paths.items():
            field = self[name]
            if not field.errors and not _is_empty(field.data):
                _set_value_at(built, path, field.data)
        return _drop_implicit_defaults(built, original, self.defaults)

    def assign_problems(self, problems: list[Problem]) -> list[Problem]:
        """Add each problem to the errors of its field; return those without a field."""
        left = []
        for problem in problems:
            field = self._field_for_path(problem.path)
            if field is None:
                left.append(problem)
            elif not (self[field].errors and problem.message == "is missing"):
                self[field].errors = [*self[field].errors, problem.message]
        return left

    def _field_for_path(self, path: Path) -> str | None:
        """Return the name of the field whose path contains or lies within ``path``."""
        for name, own in self.field_paths.items():
            if path[: len(own)] == own or (path and own[: len(path)] == path):
                return name
        return None


class AccountForm(ItemForm):
    """A client account."""

    name = StringField("Name", description="Letters, digits and . _ - inside.")
    title = StringField("Title", description="For people; any text.")
    key_hashes = LinesField(
        "Key hashes",
        description="Salted hashes of API keys, one a line ('ebonydeal key new').",
    )
    new_key = PasswordField(
        "Add an API key",
        description="Only its salted hash is kept.",
        render_kw={"autocomplete": "new-password"},
    )
    requests_per_s = NumberField("Requests a second", description="0: no limit.")
    tokens_per_s = NumberField("Tokens a second", description="0: no limit.")
    concurrency = WholeNumberField("Requests in flight", description="0: no limit.")
    priority = SelectField(
        "Highest priority", choices=_PRIORITIES, validate_choice=False
    )

    field_paths = {
        "name": ("name",),
        "title": ("title",),
        "key_hashes": ("key_hashes",),
        "requests_per_s": ("requests_per_s",),
        "tokens_per_s": ("tokens_per_s",),
        "concurrency": ("concurrency",),
        "priority": ("priority",),
    }
    defaults = ACCOUNT_DEFAULTS

    def hash_new_key(self) -> None:
        """Replace an entered key by its hash, so that no page contains the key."""
        if self.new_key.data:
            hashes = [*(self.key_hashes.data or ()), hash_key(self.new_key.data)]
            self.key_hashes.data = hashes
            self.new_key.data = ""


class DeploymentForm(ItemForm):
    """A deployment of engines or of a plain service."""

    name = StringField("Name", description="Letters, digits and . _ - inside.")
    title = StringField("Title", description="For people; any text.")
    kind = SelectField("Kind", choices=_KINDS, default="engine", validate_choice=False)
    models = LinesField("Models", description="One a line; engines only.")
    adapters = AdaptersField(
        "Adapters", description="One 'adapter = model' a line; engines only."
    )
    calls = CallsField(
        "Calls",
        description="One 'METHOD /path repeat' or 'METHOD /path once' a line; plain "
        "services only. The longest path holds; GET and HEAD repeat by default.",
    )
    accounts = ChecksField("Client accounts")
    zones = ChecksField("Availability zones")
    priority = SelectField(
        "Usual priority",
        choices=_PRIORITIES,
        validate_choice=False,
        description="Of requests that ask for none.",
    )
    price_ceiling_per_hour = NumberField(
        "Price ceiling an hour", description="For all its instances together."
    )
    replicas_min = WholeNumberField("Least replicas")
    replicas_max = WholeNumberField("Most replicas")
    first_token_s = NumberField("First token within", description="Seconds, 95 in 100.")
    between_tokens_s = NumberField("Between tokens", description="Seconds, 95 in 100.")
    weight_cost = NumberField("Weight of cost", description="1 is neutral.")
    weight_recompute = NumberField(
        "Weight of recomputing", description="1 is neutral; of tokens."
    )
    deadline_work = BooleanField("Accepted-for-later requests may wait for cheap hours")
    engines_check_fence = BooleanField(
        "Its engines refuse orders with an old fencing number"
    )

    field_paths = {
        "name": ("name",),
        "title": ("title",),
        "kind": ("kind",),
        "models": ("models",),
        "adapters": ("adapters",),
        "calls": ("calls",),
        "accounts": ("accounts",),
        "zones": ("zones",),
        "priority": ("priority",),
        "price_ceiling_per_hour": ("price_ceiling_per_hour",),
        "replicas_min": ("replicas", "min"),
        "replicas_max": ("replicas", "max"),
        "first_token_s": ("latency", "first_token_s"),
        "between_tokens_s": ("latency", "between_tokens_s"),
        "weight_cost": ("weights", "cost"),
        "weight_recompute": ("weights", "recompute"),
        "deadline_work": ("deadline_work",),
        "engines_check_fence": ("engines_check_fence",),
    }
    defaults = DEPLOYMENT_DEFAULTS

    def set_choices(self, document: Mapping[str, Any]) -> None:
        """Set the choices to the document's accounts and zones."""
        self.accounts.set_choices([item["name"] for item in document["accounts"]])
        self.zones.set_choices(
            [zone for region in document["regions"] for zone in region["zones"]]
        )


FORMS: dict[str, type[ItemForm]] = {
    "accounts": AccountForm,
    "deployments": DeploymentForm,
}


def _is_empty(value: Any) -> bool:
    """Return whether a field was left empty, so that the default applies."""
    return value is None or value == ""


def _value_at(item: Item, path: tuple[str, ...]) -> Any:
    """Return the value at a path, or None."""
    value: Any = item
    for key in path:
        value = value.get(key) if isinstance(value, dict) else None
    return value


def _set_value_at(item: Item, path: tuple[str, ...], value: Any) -> None:
    """Set the value at a path, creating missing objects."""
    for key in path[:-1]:
        item = item.setdefault(key, {})
    item[path[-1]] = value


def _with_defaults(defaults: Item, item: Item) -> Item:
    """Return ``item`` with defaults for its missing keys."""
    merged = {**defaults, **item}
    for key, value in defaults.items():
        if isinstance(value, dict):
            merged[key] = {**value, **item.get(key, {})}
    return merged


def _drop_implicit_defaults(built: Item, original: Item, defaults: Item) -> Item:
    """Return ``built`` without default values that the original omits."""
    kept: Item = {}
    for key, value in built.items():
        before = original.get(key)
        default = defaults.get(key)
        if isinstance(value, dict):
            value = _drop_implicit_defaults(value, before or {}, default or {})
            if not value and key not in original:
                continue
        elif key not in original and value == default:
            continue
        elif _is_reordered(value, before):
            value = before
        kept[key] = value
    return kept


def _is_reordered(value: Any, before: Any) -> bool:
    """Return whether two lists hold the same strings in any order."""
    if not (isinstance(value, list) and isinstance(before, list)):
        return False
    texts = all(isinstance(item, str) for item in [*value, *before])
    return texts and sorted(value) == sorted(before)
