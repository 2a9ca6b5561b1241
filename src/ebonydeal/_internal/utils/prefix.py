"""Chained hashes of prompt blocks, as in the cache events of engines."""

from xxhash import xxh3_64_hexdigest

BLOCK_TOKENS = 16


def split_tokens(text: str) -> list[str]:
    """Split text into words as approximate tokens; engines use their own tokenizer."""
    return text.split()


def prefix_blocks(model: str, text: str, block: int = BLOCK_TOKENS) -> tuple[str, ...]:
    """Return one chained hash for each full block of ``block`` tokens.

    Two prompts have the same first *n* hashes if and only if the model and the
    first ``n * block`` tokens are the same.
    """
    tokens = split_tokens(text)
    hashes: list[str] = []
    previous = model
    for start in range(0, len(tokens) - block + 1, block):
        words = " ".join(tokens[start : start + block])
        previous = xxh3_64_hexdigest(f"{previous}|{words}".encode())
        hashes.append(previous)
    return tuple(hashes)


def prompt_text(body: dict) -> str:
    """Return the prompt of a chat or completion body as one string."""
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
