"""Values of rows that are written with the lease: JSON, compressed."""

import json
from typing import Any
from zlib import compress, decompress
from zlib import error as BadCompression

# Well below what a row may hold; who has more to keep says what then.
MAX_PACKED_BYTES = 48_000
# What reading a row may raise that another writer made.
UNPACK_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
    BadCompression,
)


def pack(message: Any) -> bytes:
    """Return a message as a row's value."""
    return compress(json.dumps(message).encode())


def unpack(value: bytes) -> Any:
    """Return the message of a row's value; raises one of `UNPACK_ERRORS`."""
    return json.loads(decompress(value))
