"""Equal requests have the same digest for any id; other requests never share it."""

import pytest

from ebonydeal._internal.utils.request_digest import RequestDigest

BASE = ("acme", "a.example", "POST", "/safe/x?b=1")


def digest(*parts, body=(b"body",)):
    request_digest = RequestDigest(*(parts or BASE))
    for chunk in body:
        request_digest.update(chunk)
    return request_digest.hexdigest()


class TestDigest:
    def test_does_not_depend_on_the_chunks_of_the_body(self):
        assert digest(body=(b"bo", b"", b"dy")) == digest()

    @pytest.mark.parametrize("field", range(4))
    def test_differs_by_account_host_method_and_path(self, field):
        other = list(BASE)
        other[field] += "x"
        assert digest(*other) != digest()

    def test_differs_by_the_body(self):
        assert digest(body=(b"other",)) != digest()

    def test_fields_are_separated(self):
        assert digest("ab", "c", "GET", "/") != digest("a", "bc", "GET", "/")

    def test_length_does_not_depend_on_the_request(self):
        large = digest("a" * 10_000, *BASE[1:], body=[b"x" * 65536] * 20)
        assert len(large) == len(digest()) == 32

    def test_accepts_paths_that_are_not_utf8(self):
        assert digest("acme", "h", "GET", "/\udcff")
