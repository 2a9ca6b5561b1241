"""Which connection is closed when all together hold too much."""

from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.utils.clients.budget import (
    CONNECTION_BYTES,
    BudgetConfig,
    ClientBudget,
    CloseReason,
    Phase,
)

KB = 1000


class FakeConnection:
    def __init__(self, phase=Phase.CLIENT):
        self._phase = phase
        self.closed = None
        self.paused = False
        self.freed = None

    def phase(self):
        return self._phase

    def abandon(self, reason, freed):
        self.closed, self.freed = reason, freed

    def pause_arrival(self):
        self.paused = True

    def resume_arrival(self):
        self.paused = False


class Clients:
    def __init__(self, max_bytes=1000 * KB, max_connections=10):
        self.now = 0.0
        cfg = BudgetConfig(max_bytes, max_connections)
        self.budget = ClientBudget(cfg, lambda: self.now)

    def open(self, held=0, phase=Phase.CLIENT):
        conn = FakeConnection(phase)
        usage = self.budget.open(conn)
        self.budget.resize(usage, held)
        return conn, usage


class TestConfig:
    def test_is_derived_from_the_machine(self):
        cfg = BudgetConfig.of_machine(300.0, 4100)
        assert cfg == BudgetConfig(75_000_000, 2925)


class TestMemory:
    def test_nothing_is_closed_while_all_fits(self):
        clients = Clients()
        conns = [clients.open(200 * KB)[0] for _ in range(4)]
        clients.now = 100.0
        assert [conn.closed for conn in conns] == [None] * 4

    def test_what_holds_much_for_long_is_closed_first(self):
        clients = Clients()
        long_held, _ = clients.open(300 * KB)
        small, _ = clients.open(1 * KB)
        clients.now = 10.0
        large, _ = clients.open(500 * KB)
        late, _ = clients.open(200 * KB)
        assert long_held.closed is CloseReason.MEMORY
        assert (small.closed, large.closed, late.closed) == (None, None, None)

    def test_requests_at_work_are_closed_last(self):
        clients = Clients()
        working, _ = clients.open(500 * KB, Phase.AT_WORK)
        clients.now = 50.0
        arriving, _ = clients.open(400 * KB)
        clients.now = 51.0
        clients.open(300 * KB)
        assert working.closed is None
        assert arriving.closed is CloseReason.MEMORY

    def test_others_are_paused_until_closed_ones_are_freed(self):
        clients = Clients()
        first, _ = clients.open(700 * KB)
        clients.now = 1.0
        second, _ = clients.open(600 * KB)
        assert first.closed and second.paused
        first.freed()
        assert not second.paused

    def test_connection_that_comes_during_a_pause_is_paused(self):
        clients = Clients()
        first, _ = clients.open(700 * KB)
        clients.now = 1.0
        clients.open(600 * KB)
        third, _ = clients.open()
        assert third.paused
        first.freed()
        assert not third.paused

    @given(
        st.lists(st.tuples(st.integers(0, 400 * KB), st.sampled_from(Phase))),
        st.lists(st.integers(0, 30)),
    )
    def test_total_is_never_beyond_the_limit(self, opened, ended):
        clients = Clients(max_connections=20)
        usages = []
        for held, phase in opened:
            clients.now += 0.5
            usages.append(clients.open(held, phase)[1])
            assert clients.budget.total <= 1000 * KB
        for index in ended:
            if usages:
                clients.budget.close(usages[index % len(usages)])
        for usage in usages:
            clients.budget.close(usage)
        assert clients.budget.total == clients.budget.connections == 0


class TestConnections:
    def test_the_longest_idle_one_makes_room(self):
        clients = Clients(max_connections=3)
        busy, _ = clients.open(phase=Phase.AT_WORK)
        idle, _ = clients.open(phase=Phase.IDLE)
        clients.now = 1.0
        later, _ = clients.open(phase=Phase.IDLE)
        clients.now = 2.0
        new, _ = clients.open(phase=Phase.IDLE)
        assert idle.closed is CloseReason.CONNECTIONS
        assert (busy.closed, later.closed, new.closed) == (None, None, None)

    def test_a_new_one_takes_the_place_of_the_oldest_that_waits_for_its_client(self):
        clients = Clients(max_connections=2)
        busy, _ = clients.open(phase=Phase.AT_WORK)
        slow, _ = clients.open(phase=Phase.CLIENT)
        clients.now = 1.0
        new, _ = clients.open(phase=Phase.IDLE)
        assert slow.closed is CloseReason.CONNECTIONS
        assert (busy.closed, new.closed) == (None, None)

    def test_requests_at_work_are_not_closed_for_a_new_one(self):
        clients = Clients(max_connections=2)
        busy = [clients.open(phase=Phase.AT_WORK)[0] for _ in range(2)]
        new, _ = clients.open(phase=Phase.IDLE)
        assert new.closed is CloseReason.CONNECTIONS
        assert [conn.closed for conn in busy] == [None, None]

    def test_idle_connections_count(self):
        clients = Clients(max_bytes=4 * CONNECTION_BYTES, max_connections=100)
        conns = [clients.open(phase=Phase.IDLE)[0] for _ in range(6)]
        assert sum(conn.closed is None for conn in conns) <= 4


class TestAccepted:
    def test_beyond_half_requests_are_refused(self):
        clients = Clients()
        _, first = clients.open()
        _, second = clients.open()
        assert clients.budget.accept(first, 400 * KB)
        assert not clients.budget.accept(second, 200 * KB)
        clients.budget.finish(first)
        assert clients.budget.accept(second, 200 * KB)

    def test_one_request_alone_is_accepted(self):
        clients = Clients()
        _, usage = clients.open()
        assert clients.budget.accept(usage, 900 * KB)

    def test_closed_connection_returns_its_share(self):
        clients = Clients()
        _, first = clients.open()
        assert clients.budget.accept(first, 450 * KB)
        clients.budget.close(first)
        _, second = clients.open()
        assert clients.budget.accept(second, 450 * KB)
