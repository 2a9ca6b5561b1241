"""Seeded request traces shaped like the traffic of both users."""

from random import Random
from typing import NamedTuple

from ebonydeal._internal.utils.prefix import BLOCK_TOKENS

_INNS = 40
_SKEW = 0.7


class TraceRequest(NamedTuple):
    """One request of a trace.

    ``blocks`` stand for the prompt; ``full_blocks`` for prompt and answer, which
    the engine caches in the end. ``at`` in seconds from the start.
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
    """A user's places and engines: replicas per zone, and gateways."""

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


class _Builder:
    """Makes requests with ids in a row."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.items: list[TraceRequest] = []
        self._count = 0

    def blocks(self, tokens: int) -> tuple[str, ...]:
        """Return new blocks that no other prompt has."""
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
        """Return all requests in order of time."""
        return sorted(item for item in self.items if item.at < seconds)


def palermo_trace(seed: int, seconds: float, load: float) -> list[TraceRequest]:
    """Return delivery streams, look-ups and claims that wait.

    ``load`` scales the rates; 1.0 keeps the engines about two thirds busy under
    random choice.
    """
    build = _Builder(Random(f"palermo-{seed}"))
    rng = build.rng
    stream_prompts = [build.blocks(1200) for _ in range(3)]
    lookup_prompts = [build.blocks(400) for _ in range(4)]
    claim_prompt = build.blocks(800)
    # Sessions that began before the trace's start are under way at once.
    at = -60.0
    while at < seconds:
        at += rng.expovariate(4.0 * load)
        _palermo_session(build, at, rng.choice(stream_prompts))
    at = 0.0
    while at < seconds:
        at += rng.expovariate(20.0 * load)
        prompt = rng.choice(lookup_prompts) + build.blocks(64)
        build.add(at, "", prompt, rng.randint(8, 24))
    at = 0.0
    while at < seconds:
        at += rng.expovariate(1.0 * load)
        build.add(at, "", claim_prompt + build.blocks(2400), rng.randint(200, 400))
    return build.trace(seconds)


def _palermo_session(build: _Builder, at: float, prompt: tuple[str, ...]) -> None:
    """Add the turns of one van's streamed delivery updates."""
    rng = build.rng
    session = f"s{at:.6f}"
    text = prompt + build.blocks(rng.randint(300, 1200))
    for _ in range(rng.randint(3, 8)):
        output = rng.randint(60, 200)
        if at >= 0.0:
            full = build.add(at, session, text, output)
        else:
            full = text + build.blocks(output)
        text = full + build.blocks(rng.randint(48, 160))
        at += rng.uniform(6.0, 20.0)


def cadwaladr_trace(seed: int, seconds: float, load: float) -> list[TraceRequest]:
    """Return the nightly batch over manifests, then the dawn spike.

    The spike takes the last third: kitchens ask short questions about the
    manifests that the batch worked on.
    """
    build = _Builder(Random(f"cadwaladr-{seed}"))
    rng = build.rng
    system = build.blocks(600)
    inns = [system + build.blocks(rng.randint(2000, 4000)) for _ in range(_INNS)]
    # A few inns are large and ask most often.
    shares = [1.0 / (number + 1) ** _SKEW for number in range(_INNS)]
    dawn = seconds * 2.0 / 3.0
    at = 0.0
    while at < dawn:
        at += rng.expovariate(6.0 * load)
        prompt = rng.choices(inns, shares)[0] + build.blocks(120)
        build.add(at, "", prompt, rng.randint(80, 250))
    at = dawn
    while at < seconds:
        at += rng.expovariate(16.0 * load)
        prompt = rng.choices(inns, shares)[0] + build.blocks(48)
        build.add(at, "", prompt, rng.randint(16, 60))
    return build.trace(seconds)
