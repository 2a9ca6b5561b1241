"""Validation reports all problems at once, each with its path, and never raises."""

import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from ebonydeal._internal.config.examples import EXAMPLE_NAMES, example_document
from ebonydeal._internal.config.validate import schema, validate
from ebonydeal._internal.outside.interfaces import Offer

ZONES = ("de-cymru-1", "de-cymru-2", "de-cymru-3")


def problems(document, offers=None):
    return [(p.where, p.message) for p in validate(document, offers).failure()]


def changed(**fields):
    document = example_document("cadwaladr")
    document["deployments"][0].update(fields)
    return document


def offers(price, zones=ZONES):
    return [Offer(zone, "m1", True, price, 0.1, 8) for zone in zones]


class TestValidDocuments:
    @pytest.mark.parametrize("name", EXAMPLE_NAMES)
    def test_examples_pass(self, name):
        document = example_document(name)
        assert validate(document) == Success(document)

    def test_examples_pass_with_offers(self):
        document = example_document("cadwaladr")
        assert validate(document, offers(1.5)) == Success(document)

    def test_welsh_and_italian_names_pass(self):
        document = example_document("cadwaladr")
        document["accounts"][0]["name"] = "Llŷn-ŵyl"
        document["accounts"][1]["name"] = "città-è-più"
        for item in document["deployments"]:
            item["accounts"] = ["Llŷn-ŵyl", "città-è-più"]
        assert validate(document) == Success(document)

    def test_schema_itself_is_valid(self):
        from jsonschema import Draft202012Validator

        Draft202012Validator.check_schema(schema())


class TestEveryProblemAtOnce:
    def test_schema_problems(self):
        document = example_document("cadwaladr")
        document["currency"] = "pounds"
        del document["deployments"][0]["kind"]
        document["deployments"][1]["colour"] = "ebony"
        document["accounts"][0]["concurrency"] = -1
        assert [where for where, _ in problems(document)] == [
            "accounts[0].concurrency",
            "currency",
            "deployments[0].kind",
            "deployments[1].colour",
        ]

    def test_reference_problems(self):
        document = changed(
            zones=["de-cymru-1", "de-cymru-9"],
            accounts=["breakfast", "nobody"],
            replicas={"min": 7, "max": 3},
            adapters=[{"name": "a", "model": "covers-99b"}],
        )
        document["accounts"].append(dict(document["accounts"][0]))
        assert problems(document) == [
            ("accounts[5].name", "'breakfast' is already taken by 'breakfast'"),
            (
                "deployments[0].accounts[1]",
                "no account is named 'nobody'; there are: accounts-office, "
                "breakfast, duty-managers, front-desks, stores",
            ),
            (
                "deployments[0].adapters[0].model",
                "model 'covers-99b' is not in models: covers-13b",
            ),
            ("deployments[0].replicas.min", "min 7 is more than max 3"),
            (
                "deployments[0].zones[1]",
                "no zone is named 'de-cymru-9'; there are: "
                "de-cymru-1, de-cymru-2, de-cymru-3",
            ),
        ]

    def test_references_are_checked_beside_schema_problems(self):
        document = changed(zones=["nowhere"])
        document["deployments"][1]["colour"] = "ebony"
        document["deployments"][1]["replicas"] = {"min": 3, "max": 1}
        document["accounts"][0]["priority"] = "urgent"
        assert [where for where, _ in problems(document)] == [
            "accounts[0].priority",
            "deployments[0].zones[0]",
            "deployments[1].colour",
            "deployments[1].replicas.min",
        ]

    def test_invalid_models_cause_no_further_problems(self):
        document = changed(models=["covers 13b"])
        assert [where for where, _ in problems(document)] == [
            "deployments[0].models[0]"
        ]

    def test_two_deployments_of_one_model_and_account_are_rejected(self):
        document = example_document("cadwaladr")
        twin = {**document["deployments"][0], "name": "twin", "adapters": []}
        document["deployments"].append(twin)
        assert problems(document) == [
            (
                "deployments[2].models",
                "'kitchen' already serves covers-13b to accounts-office, "
                "breakfast, duty-managers, front-desks, stores",
            )
        ]

    def test_two_deployments_may_share_a_model_for_different_accounts(self):
        document = changed(accounts=["breakfast"])
        twin = {**document["deployments"][0], "name": "twin", "accounts": ["stores"]}
        document["deployments"].append(twin)
        assert validate(document) == Success(document)

    def test_zone_in_two_regions_is_rejected(self):
        document = example_document("cadwaladr")
        document["regions"].append({"name": "north", "zones": ["de-cymru-1"]})
        assert problems(document) == [
            ("regions[1].zones[0]", "'de-cymru-1' is already taken by 'de-cymru-1'")
        ]

    def test_engine_without_models_and_service_with_models_are_rejected(self):
        document = changed(models=[], adapters=[])
        document["deployments"][1].update(models=["m"], deadline_work=True)
        assert problems(document) == [
            ("deployments[0].models", "an engine must have at least one model"),
            ("deployments[1].deadline_work", "only engines take deadline work"),
            ("deployments[1].models", "a plain service has no models"),
        ]


class TestFeasibility:
    def test_ceiling_below_every_offer_is_rejected(self):
        document = changed(price_ceiling_per_hour=0.5)
        assert problems(document, offers(0.9)) == [
            (
                "deployments[0].price_ceiling_per_hour",
                "0.5 is under every offer; the cheapest is 0.9",
            )
        ]

    def test_ceiling_below_the_minimum_replicas_is_rejected(self):
        document = changed(price_ceiling_per_hour=4)
        assert problems(document, offers(1.0)) == [
            (
                "deployments[0].price_ceiling_per_hour",
                "4 can't pay for 5 replicas; at the cheapest offer they cost 5",
            )
        ]

    def test_zones_without_offers_are_rejected(self):
        document = example_document("cadwaladr")
        found = problems(document, offers(1.0, ["elsewhere-1"]))
        assert found == [
            ("deployments[0].zones", "no instance is offered in these zones"),
            ("deployments[1].zones", "no instance is offered in these zones"),
        ]


class TestHostileValues:
    @pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf])
    def test_numbers_that_are_not_finite(self, value):
        found = problems(changed(price_ceiling_per_hour=value))
        assert found == [
            ("deployments[0].price_ceiling_per_hour", "must be a finite number")
        ]

    def test_lone_surrogate(self):
        found = problems(changed(title="\ud800"))
        message = "contains characters that UTF-8 can't encode"
        assert found == [("deployments[0].title", message)]

    def test_decomposed_accents(self):
        found = problems(changed(title="y\u0302"))
        message = "must be normalized to composed accents (Unicode NFC)"
        assert found == [("deployments[0].title", message)]

    def test_huge_integer(self):
        (found,) = problems(changed(price_ceiling_per_hour=10**400))
        assert found[0] == "deployments[0].price_ceiling_per_hour"

    def test_deep_nesting(self):
        deep = []
        for _ in range(5000):
            deep = [deep]
        (found,) = problems({"regions": deep})
        assert found[1] == "is nested too deeply"


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["name", "zones", "kind", "models", "x"]), inner, max_size=4
        )
    ),
    max_leaves=12,
)


def all_paths(value, path=()):
    yield path
    items = []
    if isinstance(value, dict):
        items = list(value.items())
    if isinstance(value, list):
        items = list(enumerate(value))
    for key, item in items:
        yield from all_paths(item, (*path, key))


def put_at(document, path, value):
    if not path:
        return value
    copy = json.loads(json.dumps(document))
    inner = copy
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return copy


class TestInvalidDocuments:
    @given(json_values)
    def test_any_value_gets_a_result(self, value):
        match validate(value):
            case Failure(found):
                assert found and all(p.message for p in found)
            case Success(document):
                assert document is value

    @given(st.sampled_from(list(all_paths(example_document("palermo")))), json_values)
    def test_any_value_at_any_path_gets_a_result(self, path, value):
        document = put_at(example_document("palermo"), path, value)
        match validate(document):
            case Failure(found):
                assert found and all(str(p) for p in found)
            case Success(valid):
                assert valid == document
