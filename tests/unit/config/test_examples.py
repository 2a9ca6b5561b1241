"""Example documents of two fleets, with keys of their accounts."""

import pytest

from ebonydeal._internal.config.examples import (
    DEMO_KEYS,
    EXAMPLE_NAMES,
    example_document,
)
from ebonydeal._internal.models.document import Document
from ebonydeal._internal.utils.keys import key_matches


@pytest.mark.parametrize("name", EXAMPLE_NAMES)
class TestExampleDocuments:
    def test_demo_keys_match_their_accounts(self, name):
        document = Document.from_config(example_document(name), 1)
        assert len(document.accounts) == 5
        for account in document.accounts.values():
            (hashed,) = account.key_hashes
            assert key_matches(DEMO_KEYS[account.name], hashed)

    def test_changed_copy_does_not_affect_the_next(self, name):
        example_document(name)["accounts"].clear()
        assert len(example_document(name)["accounts"]) == 5


class TestSizes:
    def test_cadwaladr(self):
        document = Document.from_config(example_document("cadwaladr"), 1)
        pool = document.deployments["kitchen"]
        assert len(document.places) == 3
        assert (pool.min_replicas, pool.max_replicas) == (5, 90)
        assert document.deployments["paperwork"].min_replicas == 3

    def test_palermo(self):
        document = Document.from_config(example_document("palermo"), 1)
        pool = document.deployments["luggage"]
        assert len(document.places) == 3
        assert (pool.min_replicas, pool.max_replicas) == (9, 75)
        assert document.deployments["tracking"].min_replicas == 3
