"""Simulated rate-limited weight store."""

from aiohttp import web
from mode import Service

from ebonydeal._internal.outside.interfaces import WeightCopy
from ebonydeal._internal.standin.server import StandinServer, standin_app


class WeightStoreServer(Service):
    """Serves the locations of model weights and the available rate.

    Parameters
    ----------
    copies : sequence of WeightCopy
        Locations of the weights.
    rate : float
        Total rate, gigabytes per second.
    port : int
        0 picks a free port.
    """

    def __init__(
        self, copies: tuple[WeightCopy, ...] = (), rate: float = 10.0, *, port: int = 0
    ) -> None:
        super().__init__()
        self.copies = list(copies)
        self.rate = rate
        self.loading = 0
        self.down = False
        app = standin_app()
        app.router.add_get("/v1/copies", self._serve_copies)
        app.router.add_get("/v1/rate", self._serve_rate)
        self.server = StandinServer(app, port=port)
        self.add_dependency(self.server)

    @property
    def url(self) -> str:
        """Base URL; available after the start."""
        return f"http://{self.server.address}"

    async def _serve_copies(self, req: web.Request) -> web.Response:
        if self.down:
            return web.json_response({}, status=503)
        model = req.query.get("model", "")
        copies = [copy._asdict() for copy in self.copies if copy.model == model]
        return web.json_response({"copies": copies})

    async def _serve_rate(self, _req: web.Request) -> web.Response:
        if self.down:
            return web.json_response({}, status=503)
        return web.json_response({"gb_per_s": self.rate / (1 + self.loading)})
