"""The programs as separate processes, checked by callers' and endpoints' logs."""

import asyncio
import json

from ebonydeal._internal.outside.interfaces import Row
from ebonydeal._internal.standin.expected_answers import expected_tokens
from ebonydeal._internal.standin.faults import Fault
from ebonydeal._internal.utils.prefix import prompt_text
from tests.lib.cluster import MODEL, Cluster


def chat(text: str, tokens: int, **fields) -> dict:
    messages = [{"role": "user", "content": text}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, **fields}


def expected_text(body: dict) -> str:
    return "".join(expected_tokens(MODEL, prompt_text(body), body["max_tokens"]))


def content(answer: dict) -> str:
    return answer["choices"][0]["message"]["content"]


async def stream(
    cluster: Cluster, gateway: int, body: dict, started: list | None = None
) -> str:
    """Read one stream to its end and return its text."""
    url = cluster.gateways[gateway].url + "/v1/chat/completions"
    parts: list[str] = []
    async with cluster.session.post(url, json={**body, "stream": True}) as resp:
        assert resp.status == 200
        async for line in resp.content:
            text = line.decode().strip()
            if text == "data: [DONE]":
                return "".join(parts)
            if text.startswith("data: "):
                chunk = json.loads(text.removeprefix("data: "))
                parts.append(chunk["choices"][0]["delta"].get("content", ""))
                if started is not None and len(parts) == 1:
                    started.append(body)
    raise AssertionError("the stream was interrupted")


async def wait_until(condition) -> None:
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(0.02)


class TestWholePath:
    async def test_accepted_requests_survive_a_crash_of_their_owner(self, tmp_path):
        async with Cluster(tmp_path, gateways=2, journals=2) as cluster:
            bodies = [chat(f"late arrivals at inn {n}", 200) for n in range(24)]
            ids = []
            for body in bodies:
                status, reply = await cluster.post("/v1/deferred", body)
                assert status == 202
                ids.append(reply["id"])
            await cluster.journals[0].kill()
            await cluster.gateways[0].kill()
            for body, request_id in zip(bodies, ids, strict=True):
                answer = await cluster.answer(request_id, gateway=1)
                assert content(answer) == expected_text(body)

    async def test_paused_owner_runs_nothing_twice(self, tmp_path):
        async with Cluster(tmp_path, gateways=1, journals=2) as cluster:
            keys = [f"pickup-{n}" for n in range(16)]

            async def call(key: str) -> tuple[int, dict]:
                return await cluster.post(
                    "/services/paperwork/count", {"key": key}, Idempotency_Key=key
                )

            first = await asyncio.gather(*map(call, keys[:8]))
            assert [status for status, _ in first] == [200] * 8
            calls = [asyncio.create_task(call(key)) for key in keys[8:]]
            cluster.journals[0].pause()
            # The lease expires while its holder is paused; the other node takes over.
            await asyncio.sleep(4.0)
            cluster.journals[0].resume()
            answers = await asyncio.gather(*calls)
            again = await asyncio.gather(*map(call, keys))
            for key, (status, body) in zip(keys[8:], answers, strict=True):
                if status >= 400 and body["error"]["outcome"] == "not_run":
                    continue
                assert cluster.service_runs(key) <= 1
            for key, (status, _body) in zip(keys, again, strict=True):
                runs = cluster.service_runs(key)
                assert runs <= 1
                assert status != 200 or runs == 1

    async def test_planned_stop_of_a_gateway_interrupts_no_stream(self, tmp_path):
        async with Cluster(tmp_path, gateways=2, journals=1, speed=2.0) as cluster:
            bodies = [chat(f"label {n}", 150) for n in range(12)]
            started: list = []
            streams = [
                asyncio.create_task(stream(cluster, 0, body, started))
                for body in bodies
            ]
            await wait_until(lambda: len(started) == len(bodies))
            assert not all(task.done() for task in streams)
            code = await cluster.gateways[0].terminate()
            texts = await asyncio.gather(*streams)
            assert code == 0
            assert texts == [expected_text(body) for body in bodies]

    async def test_reclaimed_zone_interrupts_no_stream(self, tmp_path):
        async with Cluster(tmp_path, gateways=1, journals=1, speed=1.0) as cluster:
            bodies = [chat(f"allergy slip {n}", 100) for n in range(9)]
            started: list = []
            streams = [
                asyncio.create_task(stream(cluster, 0, body, started))
                for body in bodies
            ]
            await wait_until(lambda: len(started) == len(bodies))
            assert not all(task.done() for task in streams)
            cluster.world.reclaim_zone("de-cymru-1", 1.0)
            texts = await asyncio.gather(*streams)
            assert texts == [expected_text(body) for body in bodies]

    async def test_table_outage_stops_only_deferred_requests(self, tmp_path):
        async with Cluster(tmp_path, gateways=1, journals=1) as cluster:
            status, before = await cluster.post("/v1/deferred", chat("early", 400))
            assert status == 202
            faults = cluster.world.tables.tables.faults
            faults.down = True
            body = chat("stream on", 20)
            assert await stream(cluster, 0, body) == expected_text(body)
            status, refusal = await cluster.post("/v1/deferred", chat("late", 5))
            assert status == 503
            assert refusal["error"]["code"] == "journal_unavailable"
            assert refusal["error"]["outcome"] == "not_run"
            faults.down = False
            answer = await cluster.answer(before["id"])
            assert content(answer) == expected_text(chat("early", 400))

    async def test_write_with_a_lost_response_is_applied_once(self, tmp_path):
        async with Cluster(tmp_path, gateways=1, journals=1) as cluster:
            faults = cluster.world.tables.tables.faults
            faults.writes.extend([Fault.LOST_ANSWER] * 3)
            status, _ = await cluster.post(
                "/services/paperwork/count", {"n": 1}, Idempotency_Key="k-lost"
            )
            assert status == 200
            assert cluster.service_runs("k-lost") == 1
            rows: list[Row] = await cluster.world.tables.tables.scan("journal/")
            batches = [row.value["batch"] for row in rows]
            assert len(batches) == len(set(batches))
