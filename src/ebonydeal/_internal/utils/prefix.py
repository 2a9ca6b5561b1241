"""Chained hashes of prompt blocks, shared by routing and engines' cache events."""

from xxhash import xxh3_64_hexdigest

BLOCK_TOKENS = 16


def split_tokens(text: str) -> list[str]:
    """Split text into approximate tokens (words); engines count their own."""
    return text.split()


def prefix_blocks(model: str, text: str, block: int = BLOCK_TOKENS) -> tuple[str, ...]:
    """Return one chained hash for each whole block of ``block`` tokens.

    Two prompts share their first *n* hashes exactly if they share the model and
    the first ``n * block`` tokens.
    """
    tokens = split_tokens(text)
    hashes: list[str] = []
    last = model
    for start in range(0, len(tokens) - block + 1, block):
        words = " ".join(tokens[start : start + block])
        last = xxh3_64_hexdigest(f"{last}|{words}".encode())
        hashes.append(last)
    return tuple(hashes)


def prompt_text(body: dict) -> str:
    """Return the prompt of a chat or completion body as one text."""
    if isinstance(body.get("prompt"), str):
        return body["prompt"]
    messages = body.get("messages")
    if not isinstance(messages, list):
        return ""
    parts = [
        f"{item.get('role', '')}: {item.get('content', '')}"
        for item in messages
        if isinstance(item, dict)
    ]
    return "\n".join(parts)
