"""Parsing of posted forms; invalid input is refused."""

from typing import NamedTuple

from aiohttp import web
from multidict import MultiDict, MultiDictProxy

from ebonydeal._internal.console.parts import MAX_NOTE_CHARS, MAX_PROPOSAL_ID_CHARS
from ebonydeal._internal.errors import EbonydealError, ErrorKind

FormData = MultiDictProxy[str]

_CONTROL_FIELDS = ("csrf", "action", "base", "proposal", "note")


async def read_form(req: web.Request) -> FormData:
    """Return the text fields of a posted form; raises BAD_REQUEST.

    Uploaded files are ignored: no form of the console has a file field.
    """
    try:
        data = await req.post()
    except (ValueError, LookupError, AssertionError) as exc:
        raise EbonydealError(ErrorKind.BAD_REQUEST, "The form can't be read.") from exc
    texts = [(name, value) for name, value in data.items() if isinstance(value, str)]
    return MultiDictProxy(MultiDict(texts))


class PostedForm(NamedTuple):
    """A posted form: all fields, and those that every form of the console has."""

    data: FormData
    action: str
    base: int
    proposal: str
    note: str

    @classmethod
    async def read(cls, req: web.Request) -> "PostedForm":
        """Read a posted form; raises BAD_REQUEST."""
        data = await read_form(req)
        try:
            base = int(data.get("base", ""))
        except ValueError as exc:
            raise EbonydealError(
                ErrorKind.BAD_REQUEST, "The form has no base version."
            ) from exc
        return cls(
            data=data,
            action=data.get("action", "preview"),
            base=base,
            proposal=data.get("proposal", "")[:MAX_PROPOSAL_ID_CHARS],
            note=data.get("note", "")[:MAX_NOTE_CHARS],
        )

    def hidden_fields(self) -> list[tuple[str, str]]:
        """Return the fields specific to this form, for hidden inputs."""
        return [
            (name, value)
            for name, value in self.data.items()
            if name not in _CONTROL_FIELDS
        ]

    @classmethod
    def blank(cls, base: int, note: str = "") -> "PostedForm":
        """Return an empty form, as a placeholder before the first post."""
        return cls(MultiDictProxy(MultiDict()), "preview", base, "", note)
