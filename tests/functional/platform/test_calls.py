"""The platform's services as the adapter calls them, against a small stand-in."""

import json
from base64 import b64encode

import pytest
from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.shared import NO_ROW, RowWrite
from ebonydeal._internal.platform.duties import PlatformDuties
from ebonydeal._internal.platform.engines import PlatformEngines
from ebonydeal._internal.platform.store import PlatformStore
from ebonydeal._internal.utils.clock import SystemClock


class Service:
    """Answers every call with what is set, and keeps what it was asked."""

    def __init__(self):
        self.answers = []
        self.asked = []

    async def __aenter__(self):
        self._runner = web.ServerRunner(web.Server(self._handle))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.url = f"http://{self.address}"
        return self

    async def __aexit__(self, *_exc):
        await self._runner.cleanup()

    async def _handle(self, req):
        body = await req.read()
        message = json.loads(body) if body else None
        self.asked.append((req.method, req.raw_path, message, req.headers))
        status, answer = self.answers.pop(0)
        if answer is None:
            req.transport.abort()
        text = answer if isinstance(answer, str) else json.dumps(answer)
        return web.Response(status=status, text=text)


def wire_row(key, value, version):
    return {"key": key, "value": b64encode(value).decode(), "ver": version}


class TestStore:
    async def test_rows_are_read_with_the_newest_version(self):
        async with Service() as service:
            answer = {"rows": [wire_row("a", b"1", 3)], "truncated": False, "ver": 9}
            service.answers = [(200, answer)]
            store = PlatformStore(service.url, 1.0, SystemClock())
            rows, version = await store.rows("t", "a")
            await store.close()
        assert [(r.key, r.value, r.version) for r in rows] == [("a", b"1", 3)]
        assert version == 9
        assert service.asked[0][1].startswith("/-/rows-get?table=t")

    async def test_changes_wait_and_tell_of_lost_history(self):
        async with Service() as service:
            gone = {"key": "a", "ver": 5, "tombstone": True}
            service.answers = [(200, {"rows": [gone], "ver": 5}), (410, {})]
            store = PlatformStore(service.url, 1.0, SystemClock())
            changes = await store.changes("t", 4, 2.0)
            assert await store.changes("t", 4, 2.0) is None
            await store.close()
        assert (changes.rows[0].value, changes.version) == (None, 5)
        assert "after=4&wait_ms=2000" in service.asked[0][1]

    async def test_a_failed_condition_brings_the_rows(self):
        async with Service() as service:
            service.answers = [(412, {"rows": [wire_row("k", b"x", 7)]})]
            store = PlatformStore(service.url, 1.0, SystemClock())
            result = await store.transact([RowWrite("t", "k", b"y", NO_ROW)])
            await store.close()
        assert not result.applied
        assert result.rows[0].version == 7
        message = service.asked[0][2]
        assert message["precondition"][0]["ver"] == 0
        assert message["puts"][0]["key"] == "k"

    @pytest.mark.parametrize(
        ("answer", "kind"),
        [
            ((503, {}), ErrorKind.STORE_UNAVAILABLE),
            ((429, {}), ErrorKind.STORE_UNAVAILABLE),
            ((500, {}), ErrorKind.STORE_IN_DOUBT),
            ((200, "not json"), ErrorKind.STORE_IN_DOUBT),
            ((200, None), ErrorKind.STORE_IN_DOUBT),
        ],
    )
    async def test_a_write_is_in_doubt_unless_nothing_was_done(self, answer, kind):
        async with Service() as service:
            service.answers = [answer]
            store = PlatformStore(service.url, 1.0, SystemClock())
            with pytest.raises(EbonydealError) as caught:
                await store.transact([RowWrite("t", "k", b"y")])
            await store.close()
        assert caught.value.kind is kind


class TestDuties:
    async def test_calls_bear_holder_and_fence(self):
        async with Service() as service:
            service.answers = [(200, {}), (409, {})]
            duties = PlatformDuties(service.url, 1.0, "n1")
            assert (await duties.report_usage(8, {"acme": 2}, 5)).accepted
            refused = await duties.order("s", "z", 3, True, 5)
            await duties.close()
        assert (refused.accepted, refused.conflict) == (False, True)
        method, path, message, headers = service.asked[1]
        assert (method, path) == ("POST", "/scale")
        assert message == {"service": "s", "zone": "z", "desired": 3, "spot": True}
        assert headers["Ebonydeal-Lease-Holder"] == "n1"
        assert headers["Ebonydeal-Fencing-Token"] == "5"
        assert service.asked[0][2] == {"window_id": 8, "request_counts": {"acme": 2}}

    async def test_no_answer_leaves_it_in_doubt(self):
        async with Service() as service:
            service.answers = [(200, None)]
            duties = PlatformDuties(service.url, 1.0, "n1")
            with pytest.raises(EbonydealError) as caught:
                await duties.order("s", "z", 3, False, 5)
            await duties.close()
        assert caught.value.kind is ErrorKind.STORE_IN_DOUBT


class TestEngines:
    async def test_a_run_is_stopped_and_passed_on(self):
        async with Service() as service:
            service.answers = [(200, {"handle": "h7", "create_revision": 12})]
            engines = PlatformEngines(1.0)
            answer = await engines.migrate_run(service.address, "r1", "10.0.0.2:80")
            await engines.close()
        assert answer.handle == "h7"
        method, path, message, _headers = service.asked[0]
        assert (method, path) == ("POST", "/-/kv-move")
        assert message == {"id": "r1", "to": "10.0.0.2:80", "last": True}

    async def test_a_refusal_has_no_handle_but_its_reason(self):
        async with Service() as service:
            service.answers = [(404, {})]
            engines = PlatformEngines(1.0)
            answer = await engines.migrate_run(service.address, "r1", "10.0.0.2:80")
            await engines.close()
        assert (answer.handle, answer.detail) == ("", "status 404")

    @pytest.mark.parametrize("answer", [(200, None), (200, "?"), (200, {"x": 1})])
    async def test_no_readable_answer_is_a_failure(self, answer):
        async with Service() as service:
            service.answers = [answer]
            engines = PlatformEngines(1.0)
            with pytest.raises(EbonydealError) as caught:
                await engines.migrate_run(service.address, "r1", "10.0.0.2:80")
            await engines.close()
        assert caught.value.kind is ErrorKind.ENDPOINT_FAILED

    @pytest.mark.parametrize(
        ("report", "left"),
        [({"state": "draining", "leaves_ms": 1250}, 1.25), ({"state": "ready"}, None)],
    )
    async def test_an_endpoint_tells_how_soon_it_goes(self, report, left):
        async with Service() as service:
            service.answers = [(200, report)]
            engines = PlatformEngines(1.0)
            assert await engines.leaves_in(service.address) == left
            await engines.close()
        assert service.asked[0][:2] == ("GET", "/-/report")

    @pytest.mark.parametrize("answer", [(200, None), (200, "?"), (200, [])])
    async def test_a_report_that_cannot_be_read_is_a_failure(self, answer):
        async with Service() as service:
            service.answers = [answer]
            engines = PlatformEngines(1.0)
            with pytest.raises(EbonydealError):
                await engines.leaves_in(service.address)
            await engines.close()
