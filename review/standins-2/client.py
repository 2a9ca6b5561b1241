"""A stand-in of a client: one request on one connection, and what came of it."""

import asyncio
import time
from dataclasses import dataclass, field

_CONNECT_TIMEOUT_S = 1.0


@dataclass
class Answer:
    """What a client got.

    Attributes
    ----------
    status : int
        0 if no head of an answer came.
    complete : bool
        Whether the framing says that the answer is whole.
    end : str
        How the answer ended.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    end: str = ""


async def _read_head(reader: asyncio.StreamReader, answer: Answer) -> None:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            answer.headers[name.strip().lower()] = value.strip()


async def _read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    headers = answer.headers
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        answer.end = "last chunk"
    elif "content-length" in headers:
        answer.body = await reader.readexactly(int(headers["content-length"]))
        answer.end = "length reached"
    else:
        while data := await reader.read(65536):
            answer.body += data
        answer.end = "connection closed"
    answer.complete = True


async def ask(address: str, request: bytes, timeout_s: float) -> Answer:
    """Send a request on a new connection; return what came until the timeout."""
    host, port = address.split(":")
    answer = Answer()
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError) as exc:
        answer.end = f"no connection: {exc!r}"
        return answer
    try:
        async with asyncio.timeout(timeout_s):
            writer.write(request)
            await writer.drain()
            await _read_head(reader, answer)
            await _read_body(reader, answer)
    except asyncio.IncompleteReadError as exc:
        answer.body += exc.partial
        answer.end = "connection ended early"
    except TimeoutError:
        answer.end = "timed out"
    except OSError as exc:
        answer.end = f"connection broke: {type(exc).__name__}"
    finally:
        writer.close()
    return answer


def request(
    method: str,
    target: str,
    request_id: str,
    key: str,
    deadline_ms: int,
    extra: dict[str, str] | None = None,
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a request."""
    headers = {
        "Host": "ficu95.example",
        "Ebonydeal-Request-Id": request_id,
        "Ebonydeal-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
        **(extra or {}),
    }
    if body or method == "POST":
        headers["Content-Length"] = str(len(body))
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {target} HTTP/1.1\r\n{fields}\r\n".encode("latin-1") + body


def now() -> float:
    """Return the time of day, as the replicas' records have it."""
    return time.time()
