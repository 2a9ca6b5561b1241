import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Repeat, Target
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.models.shared import SharedRow
from ebonydeal._internal.platform.rows import (
    decode_member,
    decode_order,
    decode_row,
    decode_status,
    decode_table,
    encode_status,
    encode_value,
    rollout_service,
)

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "A.example",
            "prefix": "/p/",
            "route_type": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 600,
            "priority": 1,
            "traffic_split": [
                {"service": "a", "weight": 90},
                {"service": "b", "weight": 10},
            ],
            "max_attempts": 2,
            "sticky": True,
            "can_resume": True,
            "gap_aim_ms": 400,
        }
    ],
    "services": [
        {
            "name": "a",
            "health_path": "/healthz",
            "max_connections": 370,
            "engine": {"max_slots": 64, "kv_capacity_tokens": 1000},
            "autoscale": {"min": 1, "max": 3, "zone_prices": {"z1": 0.85}},
        }
    ],
    "limits": {"idle_timeout_ms": 15000},
    "tenants": [{"name": "acme", "api_keys": ["k"], "unit": "tokens", "rate_per_s": 5}],
}
MEMBER = {
    "service": "a",
    "address": "10.0.0.1:80",
    "zone": "z",
    "max_slots": 6,
    "state": "ready",
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
# Some changed fields of an otherwise valid entry.
CHANGED_FIELDS = st.dictionaries(
    st.sampled_from([*MEMBER, "born", "spot", "leaves_ms", "cold_left_ms"]), JSON
)


class TestTable:
    def test_is_converted_to_the_products_units(self):
        table = decode_table(json.dumps(CONFIG).encode())
        (route,) = table.routes
        assert (route.host, route.repeat) == ("a.example", Repeat.STREAM)
        assert (route.timeout, route.objective, route.max_event_gap) == (4.0, 0.6, 0.4)
        assert route.targets == (Target("a", 90.0), Target("b", 10.0))
        assert table.services["a"].scaling.spot_price is None
        assert table.accounts[0].in_tokens
        assert table.limits.idle_timeout == 15.0

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"[]",
            b"{",
            b"null",
            b'{"version": "x"}',
            b'{"version": 1, "routes": [1]}',
            b'{"version": 1, "routes": [{"host": "a"}]}',
            b'{"version": 1, "services": {"a": 1}}',
            b'{"version": 1, "tenants": [[]]}',
            b"[" * 100_000,
        ],
    )
    def test_invalid_value_raises_bad_document(self, value):
        with pytest.raises(EbonydealError) as caught:
            decode_table(value)
        assert caught.value.kind is ErrorKind.BAD_DOCUMENT


class TestMember:
    def test_ready_and_leaving(self):
        ready = SharedRow("i-1", json.dumps(MEMBER).encode(), 9)
        assert not decode_member(ready).leaving
        message = {**MEMBER, "state": "draining", "leaves_ms": 2500, "spot": True}
        leaving = decode_member(SharedRow("i-1", json.dumps(message).encode(), 10))
        assert leaving.leaving and leaving.reclaimable
        assert (leaving.leaves_in, leaving.revision) == (2.5, 10)

    @pytest.mark.parametrize("value", [b"", b"1", b"{}", b'{"service": "a"}'])
    def test_error_names_the_unreadable_entry(self, value):
        with pytest.raises(EbonydealError, match="i-9"):
            decode_member(SharedRow("i-9", value, 1))

    @pytest.mark.parametrize(
        "wrong",
        [
            {"state": "starting"},
            {"state": None},
            {"service": {"a": 1}},
            {"service": ""},
            {"address": [1]},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.1:x"},
            {"address": "10.0.0.1:99999"},
            {"address": "elsewhere.example:80"},
            {"zone": 3},
            {"max_slots": "6"},
            {"max_slots": True},
            {"max_slots": 0},
            {"spot": "false"},
            {"leaves_ms": float("nan")},
            {"leaves_ms": True},
            {"leaves_ms": -1},
            {"leaves_ms": 10**400},
            {"cold_left_ms": "soon"},
            {"born": 1.5},
            {"born": -1},
            {"born": None},
        ],
    )
    def test_entry_with_an_invalid_field_is_refused(self, wrong):
        value = json.dumps({**MEMBER, **wrong}).encode()
        with pytest.raises(EbonydealError) as caught:
            decode_member(SharedRow("i-9", value, 1))
        assert caught.value.kind is ErrorKind.BAD_DOCUMENT

    def test_entry_with_an_infinite_number_is_refused(self):
        value = json.dumps(MEMBER).replace(": 6", ": 1e999").encode()
        with pytest.raises(EbonydealError, match="max_slots"):
            decode_member(SharedRow("i-9", value, 1))

    def test_incarnation_is_optional(self):
        value = json.dumps({**MEMBER, "born": 1_790_000_000_123}).encode()
        assert (
            decode_member(SharedRow("i-1", value, 1)).incarnation == 1_790_000_000_123
        )
        value = json.dumps(MEMBER).encode()
        assert decode_member(SharedRow("i-1", value, 1)).incarnation == 0


class TestAnyBytes:
    """Others may write anything: it raises BAD_DOCUMENT or gives a valid value."""

    @given(st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
    def test_endpoint(self, value):
        self._check_member(value)

    @given(CHANGED_FIELDS)
    def test_endpoint_with_changed_fields(self, changed):
        self._check_member(json.dumps({**MEMBER, **changed}).encode())

    def _check_member(self, value):
        try:
            member = decode_member(SharedRow("i-1", value, 1))
        except EbonydealError as exc:
            assert exc.kind is ErrorKind.BAD_DOCUMENT
            return
        assert member.slots >= 1
        assert member.leaves_in is None or 0.0 <= member.leaves_in < 1e15
        assert 0.0 <= member.warmup_left < 1e15
        assert isinstance(member.leaving, bool)
        assert isinstance(member.reclaimable, bool)
        assert isinstance(member.incarnation, int)

    @given(st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
    def test_configuration(self, value):
        self._check_table(value)

    @given(st.dictionaries(st.sampled_from([*CONFIG]), JSON))
    def test_configuration_with_changed_sections(self, changed):
        self._check_table(json.dumps({**CONFIG, **changed}).encode())

    def _check_table(self, value):
        try:
            table = decode_table(value)
        except EbonydealError as exc:
            assert exc.kind is ErrorKind.BAD_DOCUMENT
            return
        assert isinstance(table.version, int)


class TestRow:
    def test_value_and_tombstone(self):
        row = {"table": "t", "key": "k", "value": encode_value(b"v"), "ver": 3}
        assert decode_row(row) == SharedRow("k", b"v", 3)
        removed = {"table": "t", "key": "k", "tombstone": True, "ver": 4}
        assert decode_row(removed) == SharedRow("k", None, 4)

    @pytest.mark.parametrize("value", ["a", 7, None, "\ud800", {}])
    def test_with_a_value_that_is_not_base64_has_no_document(self, value):
        row = decode_row({"key": "k", "value": value, "ver": 3})
        assert row == SharedRow("k", b"", 3)
        with pytest.raises(EbonydealError):
            decode_member(row)


class TestRollouts:
    def order(self, **change):
        message = {"service": "s", "to": "v2", "duration_s": 30, **change}
        message = {name: value for name, value in message.items() if value != "gone"}
        return SharedRow("rollout/s", json.dumps(message).encode(), 7)

    def test_order_is_decoded(self):
        assert decode_order(self.order()) == RolloutOrder("s", "v2", 30.0, 7)

    @pytest.mark.parametrize(
        "change",
        [
            {"service": "t"},
            {"service": "gone"},
            {"to": ""},
            {"to": None},
            {"to": 1.5},
            {"to": "gone"},
            {"duration_s": 0},
            {"duration_s": -1},
            {"duration_s": "30"},
            {"duration_s": True},
            {"duration_s": float("nan")},
            {"duration_s": float("inf")},
            {"duration_s": "gone"},
        ],
    )
    def test_invalid_order_is_refused(self, change):
        with pytest.raises(EbonydealError) as info:
            decode_order(self.order(**change))
        assert info.value.kind is ErrorKind.BAD_DOCUMENT

    @pytest.mark.parametrize("value", [b"", b"[]", b"7", b"{", b"\xff"])
    def test_order_that_is_not_an_object_is_refused(self, value):
        with pytest.raises(EbonydealError):
            decode_order(SharedRow("rollout/s", value, 7))

    @pytest.mark.parametrize("key", ["config", "rollout", "rollout/", ""])
    def test_other_keys_name_no_service(self, key):
        assert rollout_service(key) is None

    @pytest.mark.parametrize("phase", list(Phase))
    def test_encoded_status_is_decoded(self, phase):
        assert decode_status(encode_status(phase, "v2")) == (phase, "v2")

    @pytest.mark.parametrize("value", [b"{}", b'{"state": "done", "to": "v2"}', b"["])
    def test_invalid_status_is_refused(self, value):
        with pytest.raises(EbonydealError):
            decode_status(value)
