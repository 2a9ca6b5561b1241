"""Sessions in a signed cookie; the console itself keeps nothing."""

import secrets
from typing import NamedTuple

from aiohttp import web
from itsdangerous import BadData, URLSafeTimedSerializer

from ebonydeal._internal.console.operators import Operator, Operators
from ebonydeal._internal.settings.console import ConsoleSettings

COOKIE = "ebonydeal_session"
_SALT = "console-session"
_TOKEN_BYTES = 16
_HOUR = 3600


class Session(NamedTuple):
    """A signed-in operator and the token that forms must carry."""

    operator: str
    csrf: str


# Where the middleware leaves a request's session.
SESSION: web.RequestKey[Session | None] = web.RequestKey("session")


class Sessions:
    """Opens, reads and closes sessions.

    Parameters
    ----------
    operators : Operators
        Who may have one.
    secret : str
        Signs the cookies; the same on every console behind one balancer.
    seconds : float
        How long a session holds.
    secure : bool
        Whether the cookie goes over TLS only.
    """

    def __init__(
        self, operators: Operators, secret: str, seconds: float, secure: bool
    ) -> None:
        self._operators = operators
        self._seconds = int(seconds)
        self._secure = secure
        self._signer = URLSafeTimedSerializer(secret, salt=_SALT)

    @classmethod
    def from_config(
        cls, cfg: ConsoleSettings, operators: Operators, secure: bool
    ) -> "Sessions":
        """Build from ``[console]``."""
        secret = cfg.session_secret or secrets.token_hex(_TOKEN_BYTES)
        return cls(operators, secret, cfg.session_hours * _HOUR, secure)

    def open(self, resp: web.StreamResponse, operator: Operator) -> None:
        """Set a fresh session's cookie."""
        csrf = secrets.token_urlsafe(_TOKEN_BYTES)
        value = self._signer.dumps([operator.name, operator.stamp, csrf])
        resp.set_cookie(
            COOKIE,
            value if isinstance(value, str) else value.decode(),
            max_age=self._seconds,
            httponly=True,
            secure=self._secure,
            samesite="Strict",
        )

    def read(self, req: web.Request) -> Session | None:
        """Return the request's session, or None if there is no valid one."""
        try:
            fields = self._signer.loads(
                req.cookies.get(COOKIE, ""), max_age=self._seconds
            )
            name, stamp, csrf = (str(field) for field in fields)
        except (BadData, TypeError, ValueError):
            return None
        operator = self._operators.by_name(name)
        if operator is None or operator.stamp != stamp:
            return None
        return Session(name, csrf)

    def close(self, resp: web.StreamResponse) -> None:
        """Remove the cookie."""
        resp.del_cookie(COOKIE)
