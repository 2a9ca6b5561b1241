"""Values of rows that are written with the lease: compressed JSON."""

import json
from typing import Any
from zlib import compress, decompress
from zlib import error as BadCompression

# Well below the size limit of a row; writers define what happens to larger values.
MAX_PACKED_BYTES = 48_000
# Errors of decoding a row that another writer may have corrupted.
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
