"""Sessions in signed cookies; the console stores no session state."""

import secrets
from typing import NamedTuple

from aiohttp import web
from itsdangerous import BadData, URLSafeTimedSerializer

from ebonydeal._internal.console.operators import Operator, Operators
from ebonydeal._internal.settings.console import ConsoleSettings

COOKIE = "ebonydeal_session"
_SALT = "console-session"
_TOKEN_BYTES = 16
_HOUR_S = 3600


class Session(NamedTuple):
    """A signed-in operator and the CSRF token that forms must contain."""

    operator: str
    csrf: str


# Key under which the middleware stores a request's session.
SESSION: web.RequestKey[Session | None] = web.RequestKey("session")


class Sessions:
    """Opens, reads and closes sessions.

    Parameters
    ----------
    operators : Operators
        Operators who may sign in.
    secret : str
        Signs the cookies; must be the same on all consoles behind one load balancer.
    seconds : float
        Lifetime of a session in seconds.
    secure : bool
        Whether the cookie is sent over TLS only.
    """

    def __init__(
        self, operators: Operators, secret: str, max_age_s: float, secure: bool
    ) -> None:
        self._operators = operators
        self._max_age_s = int(max_age_s)
        self._secure = secure
        self._signer = URLSafeTimedSerializer(secret, salt=_SALT)

    @classmethod
    def from_config(
        cls, cfg: ConsoleSettings, operators: Operators, secure: bool
    ) -> "Sessions":
        """Build from ``[console]``."""
        secret = cfg.session_secret or secrets.token_hex(_TOKEN_BYTES)
        return cls(operators, secret, cfg.session_hours * _HOUR_S, secure)

    def open(self, resp: web.StreamResponse, operator: Operator) -> None:
        """Set the cookie of a new session."""
        csrf = secrets.token_urlsafe(_TOKEN_BYTES)
        value = self._signer.dumps([operator.name, operator.token_fingerprint, csrf])
        resp.set_cookie(
            COOKIE,
            value if isinstance(value, str) else value.decode(),
            max_age=self._max_age_s,
            httponly=True,
            secure=self._secure,
            samesite="Strict",
        )

    def read(self, req: web.Request) -> Session | None:
        """Return the request's session, or None if there is no valid one."""
        try:
            fields = self._signer.loads(
                req.cookies.get(COOKIE, ""), max_age=self._max_age_s
            )
            name, token_fingerprint, csrf = (str(field) for field in fields)
        except (BadData, TypeError, ValueError):
            return None
        operator = self._operators.by_name(name)
        if operator is None or operator.token_fingerprint != token_fingerprint:
            return None
        return Session(name, csrf)

    def close(self, resp: web.StreamResponse) -> None:
        """Remove the cookie."""
        resp.del_cookie(COOKIE)
