from ebonydeal._internal.controller.orders import (
    HoldOrder,
    KnownOrder,
    Leadership,
    OrderConfig,
    ReadBack,
    SendOrder,
    Settled,
    after_read,
    after_send,
    next_step,
)
from ebonydeal._internal.outside.interfaces import EngineOrder

POLICY = OrderConfig(quiet=20.0, longest_order=10.0, audit_period=30.0)
WANTED = EngineOrder(5, ("m", "n"), "serve")
ALIVE, GONE = Leadership(100.0, False), Leadership(100.0, True)


def step(memory, leadership=GONE, checks=False, now=200.0):
    return next_step(WANTED, memory, leadership, checks, POLICY, now)


def read(found, now=200.0):
    return after_read(KnownOrder(), found, WANTED, now)


class TestEnginesThatCheck:
    def test_read_then_send_then_read_then_settled(self):
        assert step(KnownOrder(), checks=True) == ReadBack()
        memory = read(EngineOrder(4, ("m", "n"), "serve"))
        assert step(memory, ALIVE, checks=True) == SendOrder()
        assert step(after_send(memory), checks=True) == ReadBack()
        assert step(read(WANTED), checks=True) == Settled()


class TestEnginesThatIgnore:
    def test_the_old_lease_is_waited_out(self):
        memory = read(EngineOrder(4, ("m",), "serve"), 110.0)
        assert isinstance(step(memory, ALIVE, now=119.0), HoldOrder)
        assert step(memory, ALIVE, now=120.0) == SendOrder()
        assert step(memory, GONE, now=110.0) == SendOrder()

    def test_what_cant_be_undone_waits_for_the_old_holder_to_be_gone(self):
        for found in (
            EngineOrder(4, ("m", "n", "old"), "serve"),
            EngineOrder(4, ("m", "n"), "prefill"),
        ):
            memory = read(found)
            assert isinstance(step(memory, ALIVE), HoldOrder)
            assert step(memory, GONE) == SendOrder()

    def test_an_empty_engine_may_take_any_role(self):
        assert step(read(EngineOrder(0, (), "prefill")), ALIVE) == SendOrder()

    def test_read_back_until_stable_then_audited_for_ever(self):
        memory = read(EngineOrder(1, ("n", "m"), "serve"), 200.0)
        assert isinstance(step(memory, now=201.0), HoldOrder)
        assert step(memory, now=205.0) == ReadBack()
        memory = after_read(memory, WANTED, WANTED, 210.0)
        assert step(memory, now=211.0) == Settled()
        assert step(memory, now=240.0) == ReadBack()

    def test_another_end_starts_it_all_again(self):
        memory = after_read(read(WANTED), EngineOrder(4, ("m",), "serve"), WANTED, 260)
        assert memory.matching_since is None
        assert step(memory, now=260.0) == SendOrder()
