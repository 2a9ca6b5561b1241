"""Salted hashes of API keys, and constant-time comparison."""

import hashlib
import hmac
import secrets

_SALT_BYTES = 16


def hash_key(key: str, salt: str = "") -> str:
    """Return ``salt$digest`` of an API key; generates a salt if none is given.

    API keys are long and random, so one round of a keyed hash is enough, and a
    gateway can check thousands of keys per second.
    """
    salt = salt or secrets.token_hex(_SALT_BYTES)
    digest = hmac.new(bytes.fromhex(salt), key.encode(), hashlib.sha256).hexdigest()
    return f"{salt}${digest}"


def key_matches(key: str, hashed: str) -> bool:
    """Return whether ``key`` has this hash; False for a malformed hash."""
    salt, sep, _digest = hashed.partition("$")
    if not sep:
        return False
    try:
        return hmac.compare_digest(hash_key(key, salt), hashed)
    except ValueError:
        return False
