"""Equal requests have one digest, whatever their ids; others never share it."""

import pytest

from ebonydeal._internal.utils.request_digest import RequestDigest

BASE = ("acme", "a.example", "POST", "/safe/x?b=1")


def digest(*words, body=(b"body",)):
    found = RequestDigest(*(words or BASE))
    for part in body:
        found.update(part)
    return found.hexdigest()


class TestDigest:
    def test_doesnt_depend_on_how_the_body_is_read(self):
        assert digest(body=(b"bo", b"", b"dy")) == digest()

    @pytest.mark.parametrize("place", range(4))
    def test_differs_by_account_host_method_and_path(self, place):
        other = list(BASE)
        other[place] += "x"
        assert digest(*other) != digest()

    def test_differs_by_the_body(self):
        assert digest(body=(b"other",)) != digest()

    def test_words_dont_run_into_each_other(self):
        assert digest("ab", "c", "GET", "/") != digest("a", "bc", "GET", "/")

    def test_has_one_length_whatever_is_read(self):
        large = digest("a" * 10_000, *BASE[1:], body=[b"x" * 65536] * 20)
        assert len(large) == len(digest()) == 32

    def test_takes_paths_that_are_no_text(self):
        assert digest("acme", "h", "GET", "/\udcff")
