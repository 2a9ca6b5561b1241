"""Seeded request traces shaped like the traffic of both users."""

from random import Random
from typing import NamedTuple

from ebonydeal._internal.utils.prefix import BLOCK_TOKENS

_INN_COUNT = 40
_INN_SKEW = 0.7


class TraceRequest(NamedTuple):
    """One request of a trace.

    ``blocks`` represent the prompt; ``full_blocks`` the prompt and the answer, which
    the engine has cached at the end. ``at`` is in seconds from the start.
    """

    at: float
    request_id: str
    session: str
    blocks: tuple[str, ...]
    full_blocks: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int
    max_tokens: int


class Shape(NamedTuple):
    """A user's cluster: region, replicas per zone, gateways and engine parameters."""

    name: str
    region: str
    replicas: tuple[int, ...]
    gateways: int
    slots: int
    cache_blocks: int
    prefill_rate: float
    token_rate: float
    prices: tuple[float, ...]
    evict_per_hour: float
    first_token_s: float


CADWALADR = Shape(
    "cadwaladr",
    "wales",
    (2, 2, 1),
    9,
    16,
    3000,
    8000.0,
    60.0,
    (2.0, 2.2, 1.8),
    1.0,
    1.0,
)
PALERMO = Shape(
    "palermo",
    "palermo",
    (3, 3, 3),
    9,
    16,
    5000,
    8000.0,
    60.0,
    (2.0, 2.1, 2.2),
    1.0,
    0.47,
)


class _TraceBuilder:
    """Builds a trace; numbers its requests consecutively."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.items: list[TraceRequest] = []
        self._count = 0

    def blocks(self, tokens: int) -> tuple[str, ...]:
        """Return new blocks that no other prompt contains."""
        first = self._count
        self._count += max(1, tokens // BLOCK_TOKENS)
        return tuple(f"{number:x}" for number in range(first, self._count))

    def add(
        self, at: float, session: str, prompt: tuple[str, ...], output: int
    ) -> tuple[str, ...]:
        """Add a request; return the blocks of prompt and answer."""
        full = prompt + self.blocks(output)
        name = f"r{len(self.items)}"
        tokens = len(prompt) * BLOCK_TOKENS + self.rng.randrange(BLOCK_TOKENS)
        self.items.append(
            TraceRequest(at, name, session, prompt, full, tokens, output, output * 2)
        )
        return full

    def trace(self, seconds: float) -> list[TraceRequest]:
        """Return the requests within ``seconds``, ordered by time."""
        return sorted(item for item in self.items if item.at < seconds)


def palermo_trace(seed: int, seconds: float, load: float) -> list[TraceRequest]:
    """Return delivery streams, look-ups and deferred claims.

    ``load`` scales the rates; 1.0 keeps the engines about two thirds busy under
    random choice.
    """
    builder = _TraceBuilder(Random(f"palermo-{seed}"))
    rng = builder.rng
    stream_prompts = [builder.blocks(1200) for _ in range(3)]
    lookup_prompts = [builder.blocks(400) for _ in range(4)]
    claim_prompt = builder.blocks(800)
    # Sessions that began before the trace's start are in progress at its start.
    at = -60.0
    while at < seconds:
        at += rng.expovariate(4.0 * load)
        _palermo_session(builder, at, rng.choice(stream_prompts))
    at = 0.0
    while at < seconds:
        at += rng.expovariate(20.0 * load)
        prompt = rng.choice(lookup_prompts) + builder.blocks(64)
        builder.add(at, "", prompt, rng.randint(8, 24))
    at = 0.0
    while at < seconds:
        at += rng.expovariate(1.0 * load)
        builder.add(at, "", claim_prompt + builder.blocks(2400), rng.randint(200, 400))
    return builder.trace(seconds)


def _palermo_session(
    builder: _TraceBuilder, at: float, prompt: tuple[str, ...]
) -> None:
    """Add the turns of one van's streamed delivery updates."""
    rng = builder.rng
    session = f"s{at:.6f}"
    text = prompt + builder.blocks(rng.randint(300, 1200))
    for _ in range(rng.randint(3, 8)):
        output = rng.randint(60, 200)
        if at >= 0.0:
            full = builder.add(at, session, text, output)
        else:
            full = text + builder.blocks(output)
        text = full + builder.blocks(rng.randint(48, 160))
        at += rng.uniform(6.0, 20.0)


def cadwaladr_trace(seed: int, seconds: float, load: float) -> list[TraceRequest]:
    """Return the nightly batch over manifests, then the dawn spike.

    The spike is the last third: kitchens send short questions about the manifests
    that the batch processed.
    """
    builder = _TraceBuilder(Random(f"cadwaladr-{seed}"))
    rng = builder.rng
    system = builder.blocks(600)
    inns = [system + builder.blocks(rng.randint(2000, 4000)) for _ in range(_INN_COUNT)]
    # A few large inns send most of the requests.
    weights = [1.0 / (number + 1) ** _INN_SKEW for number in range(_INN_COUNT)]
    dawn = seconds * 2.0 / 3.0
    at = 0.0
    while at < dawn:
        at += rng.expovariate(6.0 * load)
        prompt = rng.choices(inns, weights)[0] + builder.blocks(120)
        builder.add(at, "", prompt, rng.randint(80, 250))
    at = dawn
    while at < seconds:
        at += rng.expovariate(16.0 * load)
        prompt = rng.choices(inns, weights)[0] + builder.blocks(48)
        builder.add(at, "", prompt, rng.randint(16, 60))
    return builder.trace(seconds)
