"""A console with in-memory tables, and browsers of its operators."""

import random

from aiohttp import CookieJar
from aiohttp.test_utils import TestClient, TestServer

from ebonydeal._internal.config.follower import ConfigFollower
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.console.operators import Operators
from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.program import console_app
from ebonydeal._internal.console.render import Renderer
from ebonydeal._internal.console.sessions import Sessions
from ebonydeal._internal.console.status import StatusReader
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.interfaces import Offer
from ebonydeal._internal.utils.keys import hash_key
from tests.lib.config_fakes import AutoAdvancingClock, FakeTables
from tests.lib.html_forms import FormReader, with_fields

TOKENS = {"nia": "nia-token", "rhys": "rhys-token"}
ZONES = ["de-cymru-1", "de-cymru-2", "de-cymru-3"]


class FakePeers:
    def __init__(self):
        self.known_members = []

    def members(self):
        return tuple(self.known_members)


class FakeInstances:
    def __init__(self):
        self.views = []
        self.down = False

    async def endpoints(self):
        if self.down:
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, "the list is down")
        return list(self.views)


class FakeClient:
    """Returns answers set by address; other addresses are unreachable."""

    def __init__(self):
        self.answers = {}

    async def call(self, address, path, message, timeout):
        answer = self.answers.get((address, path))
        if answer is None:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, address)
        return answer


class ConsoleFixture:
    """One console and the browsers of several operators."""

    def __init__(self) -> None:
        self.tables = FakeTables()
        self.clock = AutoAdvancingClock()
        self.metrics = Metrics()
        self.peers = FakePeers()
        self.instances = FakeInstances()
        self.client = FakeClient()
        self.current_offers = [Offer(zone, "m1", True, 1.0, 0.1, 8) for zone in ZONES]
        rng = random.Random(1)
        self.store = ConfigStore(self.tables, self.clock, rng)
        self.follower = ConfigFollower(self.tables, self.metrics, self.clock, rng)
        text = ",".join(f"{name}:{hash_key(key)}" for name, key in TOKENS.items())
        operators = Operators.from_config(text)
        self.parts = ConsoleParts(
            store=self.store,
            follower=self.follower,
            status=StatusReader(
                self.follower,
                self.tables,
                self.instances,
                self.peers,
                self.client,
                self.metrics,
            ),
            operators=operators,
            sessions=Sessions(operators, "secret", 3600, False),
            render=Renderer(),
            offers=self.offers,
            metrics=self.metrics,
            clock=self.clock,
            rng=rng,
        )
        self.server = TestServer(console_app(self.parts))
        self.browsers = []

    async def offers(self):
        if self.current_offers is None:
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, "no cloud")
        return self.current_offers

    async def browser(self, name: str | None = None) -> "Browser":
        jar = CookieJar(unsafe=True)
        browser = Browser(TestClient(self.server, cookie_jar=jar))
        self.browsers.append(browser)
        await browser.client.start_server()
        if name is not None:
            await browser.post("/login", {"token": TOKENS[name]})
        return browser

    async def close(self) -> None:
        for browser in self.browsers:
            await browser.client.close()


class Browser:
    """One operator's browser: loads pages, fills in and posts forms."""

    def __init__(self, client: TestClient) -> None:
        self.client = client
        self.status = 0
        self.path = ""
        self.page = FormReader("")

    async def get(self, path: str) -> FormReader:
        return await self._read(await self.client.get(path))

    async def post(self, path: str, data) -> FormReader:
        return await self._read(await self.client.post(path, data=data))

    async def submit(self, action: str, **values) -> FormReader:
        """Post the page's main form with some fields changed."""
        form = with_fields(self.page.main_form(), action=action, **values)
        return await self.post(self.path, form)

    async def _read(self, resp) -> FormReader:
        self.status = resp.status
        self.path = resp.url.path
        self.page = FormReader(await resp.text())
        return self.page
