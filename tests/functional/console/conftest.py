"""Fixtures: an empty console, and one with a document."""

import pytest

from ebonydeal._internal.config.examples import example_document
from tests.lib.console import ConsoleFixture


@pytest.fixture
async def console():
    fixture = ConsoleFixture()
    yield fixture
    await fixture.close()


@pytest.fixture
async def filled(console):
    result = await console.store.propose(
        example_document("cadwaladr"), 0, "nia", "first"
    )
    assert result.unwrap() == 1
    return console
