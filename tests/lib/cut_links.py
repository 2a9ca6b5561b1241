"""Relays in one process, some of which can't make connections to endpoints."""

from contextlib import asynccontextmanager

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.relay.requests.outcomes import NotSent
from tests.lib.announcing_endpoints import running_relays
from tests.lib.relay_fakes import until


class NoConnections:
    """Stands in for a pool of connections to an endpoint that can't be reached."""

    async def send(self, *_request):
        return NotSent(ErrorKind.CONNECT_FAILED, "cut")

    def has_idle(self, _now):
        return False

    def has_idle_for(self, _req):
        return False

    def sweep(self):
        pass

    def close(self):
        pass


def cut(program):
    """Let all new connections of a relay to endpoints fail."""

    async def no_connection(_service, _health):
        return False

    program._pools.get = lambda _member: NoConnections()
    program._links._test = no_connection


@asynccontextmanager
async def relays_of_which_first_is_cut(count, *endpoints, **cfg):
    """Run relays that know each other; yields them."""
    async with running_relays(count, *endpoints, **cfg) as (programs, _store):
        for program in programs:
            await until(lambda p=program: len(p._exchange.relays) == count, 20.0)
        cut(programs[0])
        yield programs
