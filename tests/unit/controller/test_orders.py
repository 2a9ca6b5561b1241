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

CONFIG = OrderConfig(predecessor_timeout_s=20.0, max_order_s=10.0, audit_period=30.0)
WANTED = EngineOrder(5, ("m", "n"), "serve")
ALIVE, GONE = Leadership(100.0, False), Leadership(100.0, True)


def step(known, leadership=GONE, checks=False, now=200.0):
    return next_step(WANTED, known, leadership, checks, CONFIG, now)


def read(found, now=200.0):
    return after_read(KnownOrder(), found, WANTED, now)


class TestEnginesThatCheckFence:
    def test_read_then_send_then_read_then_settled(self):
        assert step(KnownOrder(), checks=True) == ReadBack()
        known = read(EngineOrder(4, ("m", "n"), "serve"))
        assert step(known, ALIVE, checks=True) == SendOrder()
        assert step(after_send(known), checks=True) == ReadBack()
        assert step(read(WANTED), checks=True) == Settled()


class TestEnginesThatIgnoreFence:
    def test_order_waits_for_the_old_lease_to_expire(self):
        known = read(EngineOrder(4, ("m",), "serve"), 110.0)
        assert isinstance(step(known, ALIVE, now=119.0), HoldOrder)
        assert step(known, ALIVE, now=120.0) == SendOrder()
        assert step(known, GONE, now=110.0) == SendOrder()

    def test_irreversible_order_waits_until_the_old_holder_is_gone(self):
        for found in (
            EngineOrder(4, ("m", "n", "old"), "serve"),
            EngineOrder(4, ("m", "n"), "prefill"),
        ):
            known = read(found)
            assert isinstance(step(known, ALIVE), HoldOrder)
            assert step(known, GONE) == SendOrder()

    def test_role_of_an_empty_engine_changes_without_wait(self):
        assert step(read(EngineOrder(0, (), "prefill")), ALIVE) == SendOrder()

    def test_order_is_read_until_stable_and_then_audited(self):
        known = read(EngineOrder(1, ("n", "m"), "serve"), 200.0)
        assert isinstance(step(known, now=201.0), HoldOrder)
        assert step(known, now=205.0) == ReadBack()
        known = after_read(known, WANTED, WANTED, 210.0)
        assert step(known, now=211.0) == Settled()
        assert step(known, now=240.0) == ReadBack()

    def test_changed_order_is_sent_again(self):
        known = after_read(read(WANTED), EngineOrder(4, ("m",), "serve"), WANTED, 260)
        assert known.matching_since is None
        assert step(known, now=260.0) == SendOrder()
