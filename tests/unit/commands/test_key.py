"""A printed key matches its printed hash."""

from click.testing import CliRunner

from ebonydeal._internal.cli.main import main
from ebonydeal._internal.utils.keys import key_matches


class TestKeyCommand:
    def test_new_key_matches_its_hash(self):
        key, hashed = CliRunner().invoke(main, ["key", "new"]).output.split()
        assert len(key) >= 32
        assert key_matches(key, hashed)

    def test_hash_of_a_given_key(self):
        result = CliRunner().invoke(main, ["key", "hash", "--key", "k"])
        assert key_matches("k", result.output.strip())
