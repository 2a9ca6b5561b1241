"""Validation problems of a document, with their paths."""

from typing import Any, NamedTuple

Path = tuple[str | int, ...]


class Problem(NamedTuple):
    """One reason to reject a document.

    Attributes
    ----------
    path : tuple of str or int
        Keys and list indexes from the document's root.
    message : str
        What is wrong, and which values are accepted.
    """

    path: Path
    message: str

    @property
    def where(self) -> str:
        """The path as text, such as ``deployments[0].zones[2]``."""
        return path_text(self.path)

    def __str__(self) -> str:
        """Return one line for the user."""
        return f"{self.where}: {self.message}"

    def to_message(self) -> dict[str, Any]:
        """Return the wire shape."""
        return {"path": list(self.path), "where": self.where, "message": self.message}

    @classmethod
    def from_message(cls, message: dict[str, Any]) -> "Problem":
        """Build from the wire shape; raises KeyError or TypeError."""
        return cls(tuple(message["path"]), str(message["message"]))


def path_text(path: Path) -> str:
    """Return a path as text; ``document`` for the root."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text or "document"
