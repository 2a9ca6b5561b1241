import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.auth import Authenticator
from tests.lib.gateway_fakes import ACCOUNT, KEY, account, document

HEADER = f"Bearer {KEY}"


def refusal(auth: Authenticator, header: str | None, doc) -> ErrorKind:
    with pytest.raises(EbonydealError) as caught:
        auth.account(header, doc)
    return caught.value.kind


class TestAuthenticator:
    def test_known_key(self):
        auth = Authenticator()
        assert auth.account(HEADER, document()).name == ACCOUNT

    @pytest.mark.parametrize(
        "header",
        [None, "", KEY, "Basic abc", "Bearer ", "Bearer x", "Bearer " + "k" * 600],
    )
    def test_invalid_header_is_refused(self, header):
        assert refusal(Authenticator(), header, document()) is ErrorKind.UNAUTHORIZED

    def test_revoked_key_is_refused_at_once(self):
        auth, doc = Authenticator(), document()
        auth.account(HEADER, doc)
        revoked = doc._replace(accounts={ACCOUNT: account(key="sk-new")})
        assert refusal(auth, HEADER, revoked) is ErrorKind.UNAUTHORIZED
        assert auth.account("Bearer sk-new", revoked).name == ACCOUNT

    def test_key_reassigned_to_another_account(self):
        auth, doc = Authenticator(), document()
        auth.account(HEADER, doc)
        reassigned = doc._replace(accounts={"new": account("new")})
        assert auth.account(HEADER, reassigned).name == "new"

    def test_cache_is_bounded(self):
        auth, doc = Authenticator(entries=1), document()
        auth.account(HEADER, doc)
        auth.account("Bearer sk-other", doc)
        refusal(auth, "Bearer sk-guess", doc)
        assert len(auth._verified) == 1
        assert auth.account(HEADER, doc).name == ACCOUNT
