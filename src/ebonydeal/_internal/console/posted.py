"""What browsers post, read with care."""

from typing import NamedTuple

from aiohttp import web
from multidict import MultiDict, MultiDictProxy

from ebonydeal._internal.console.parts import MAX_NOTE, MAX_PROPOSAL
from ebonydeal._internal.errors import EbonydealError, ErrorKind

FormData = MultiDictProxy[str]

_NOT_CARRIED = ("csrf", "action", "base", "proposal", "note")


async def read_form(req: web.Request) -> FormData:
    """Return the text fields of a posted form; raises BAD_REQUEST.

    Files are left out: no form of the console has any.
    """
    try:
        data = await req.post()
    except (ValueError, LookupError, AssertionError) as exc:
        raise EbonydealError(ErrorKind.BAD_REQUEST, "The form can't be read.") from exc
    texts = [(name, value) for name, value in data.items() if isinstance(value, str)]
    return MultiDictProxy(MultiDict(texts))


class Posted(NamedTuple):
    """What every form of the console posts beside its own fields."""

    data: FormData
    action: str
    base: int
    proposal: str
    note: str

    @classmethod
    async def read(cls, req: web.Request) -> "Posted":
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
            proposal=data.get("proposal", "")[:MAX_PROPOSAL],
            note=data.get("note", "")[:MAX_NOTE],
        )

    def carried(self) -> list[tuple[str, str]]:
        """Return the form's own fields, for hidden inputs."""
        return [
            (name, value)
            for name, value in self.data.items()
            if name not in _NOT_CARRIED
        ]

    @classmethod
    def blank(cls, base: int, note: str = "") -> "Posted":
        """Return what stands for a form that nobody has posted yet."""
        return cls(MultiDictProxy(MultiDict()), "preview", base, "", note)
