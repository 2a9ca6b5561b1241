import random
import time

import openai
import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.budget import RetryBudget
from ebonydeal._internal.models.endpoints import LoadReport
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.settings.routing import RetrySettings
from tests.functional.gateway.test_generation import BODY, client
from tests.lib.gateway_fakes import Bench, FakeEngine

REQUESTS = 300
FAILED = EbonydealError(ErrorKind.ENDPOINT_FAILED, "gone")


def report_load(bench: Bench) -> None:
    load = LoadReport(0, 0, 8, 0.0, 50.0, time.time())
    bench.directory.all = [item._replace(load=load) for item in bench.directory.all]


class TestLostEndpoint:
    async def test_unstarted_request_is_retried_without_budget(self):
        engine = FakeEngine()
        engine.faults = {"e1": (0, FAILED)}
        async with Bench(engine) as bench, client(bench) as api:
            bench.retries.left = 0
            report_load(bench)
            answers = [await api.chat.completions.create(**BODY) for _ in range(3)]
        assert [item.choices[0].finish_reason for item in answers] == ["stop"] * 3


class TestFullFailure:
    @pytest.mark.parametrize("reporting", [False, True])
    @pytest.mark.parametrize(
        "kind", [ErrorKind.ENDPOINT_FAILED, ErrorKind.CONNECT_FAILED]
    )
    async def test_sends_grow_by_at_most_a_tenth(self, kind, reporting):
        engine = FakeEngine()
        fault = (0, EbonydealError(kind, "down"))
        engine.faults = dict.fromkeys(("e1", "e2", "e3"), fault)
        policy = RetryPolicy(RetrySettings(backoff=0.0), random.Random(1))
        bench = Bench(engine, retries=RetryBudget(policy))
        if reporting:
            report_load(bench)
        async with bench, client(bench) as api:
            for _ in range(REQUESTS):
                with pytest.raises(openai.APIStatusError) as caught:
                    await api.chat.completions.create(**BODY)
                assert float(caught.value.response.headers["Retry-After"]) >= 1
        assert REQUESTS <= len(engine.attempts) <= REQUESTS * 1.1
