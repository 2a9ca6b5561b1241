"""What browsers post, read with care."""

from aiohttp import web
from multidict import MultiDict, MultiDictProxy

from ebonydeal._internal.errors import EbonydealError, ErrorKind

FormData = MultiDictProxy[str]


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
