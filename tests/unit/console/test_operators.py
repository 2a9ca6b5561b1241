"""Operators: lookup by name and token, invalid settings."""

import pytest

from ebonydeal._internal.console.operators import Operators
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.utils.keys import hash_key


class TestOperators:
    def test_token_identifies_its_operator(self):
        text = f"Nia Llŷr:{hash_key('a')}, rhys:{hash_key('b')}"
        operators = Operators.from_config(text)
        assert operators.by_token("a").name == "Nia Llŷr"
        assert operators.by_token("b").name == "rhys"
        assert operators.by_token("c") is None
        assert operators.by_name("rhys").name == "rhys"

    def test_no_operators_match_no_token(self):
        assert Operators.from_config("").by_token("") is None

    def test_a_new_token_invalidates_old_sessions(self):
        old = Operators.from_config(f"rhys:{hash_key('a')}").by_name("rhys")
        new = Operators.from_config(f"rhys:{hash_key('b')}").by_name("rhys")
        assert old.token_fingerprint != new.token_fingerprint

    @pytest.mark.parametrize("text", ["rhys", "rhys:", ":a$b", "rhys:plain", "a:b,c"])
    def test_invalid_settings_are_refused(self, text):
        with pytest.raises(EbonydealError) as caught:
            Operators.from_config(text)
        assert caught.value.kind == ErrorKind.BAD_SETTINGS
        assert "ebonydeal key new" in caught.value.detail
