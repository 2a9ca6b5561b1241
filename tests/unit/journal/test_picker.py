import json
import random

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.journal.picker import RoutedPicker, route_request, weights_from
from ebonydeal._internal.models.document import EMPTY_DOCUMENT, Weights
from ebonydeal._internal.models.endpoints import LoadReport
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.routing.placement.types import NEUTRAL_WEIGHTS
from ebonydeal._internal.settings.routing import RoutingSettings
from tests.lib.clock import ManualClock
from tests.lib.endpoints import make_view
from tests.lib.journal_fakes import make_request

HERE = Place("wales", "wales-1")
NOBODY = frozenset()


class Listed:
    def __init__(self, *views):
        self.listed = views

    def views(self, deployment):
        return tuple(view for view in self.listed if view.deployment == deployment)

    def is_leaving(self, view):
        return False


def make_picker(*views):
    router = Router(RoutingSettings(), random.Random(1))
    return RoutedPicker(Listed(*views), router, HERE, ManualClock())


def load(running, waiting=0, slots=2):
    return LoadReport(running, waiting, slots, 0.1, 20.0, 1_000_000.0)


class TestRoutedPicker:
    def test_takes_none_that_has_no_free_slot(self):
        picker = make_picker(
            make_view("full", load=load(2)), make_view("free", load=load(1))
        )
        assert picker.pick(make_request(), NOBODY).endpoint_id == "free"
        assert picker.pick(make_request(), frozenset({"free"})) is None

    def test_own_sends_count_until_they_end(self):
        view = make_view("e-1", load=load(0, slots=1))
        picker = make_picker(view)
        request = make_request()
        assert picker.pick(request, NOBODY) is view
        picker.record_sent(request, view)
        assert picker.pick(make_request("r-0000-2"), NOBODY) is None
        picker.record_finished(request, view, ErrorKind.ENDPOINT_FAILED)
        assert picker.pick(make_request("r-0000-2"), NOBODY) is view

    def test_an_engine_without_the_model_is_not_asked(self):
        picker = make_picker(make_view("e-1", models=("other",)))
        assert picker.pick(make_request(), NOBODY) is None


class TestRouteRequest:
    def test_the_prompt_makes_the_prefix(self):
        text = " ".join(str(number) for number in range(40))
        body = json.dumps({"model": "m", "prompt": text})
        ask = route_request(make_request(body=body), HERE, NOBODY, Weights(2.0, 1.0))
        assert (ask.model, len(ask.blocks)) == ("m", 2)
        assert ask.weights == Weights(2.0, 1.0)

    def test_a_body_that_is_no_json_has_none(self):
        ask = route_request(make_request(body="{"), HERE, NOBODY, NEUTRAL_WEIGHTS)
        assert (ask.model, ask.blocks) == ("", ())

    def test_a_deployment_that_is_not_known_is_neutral(self):
        assert weights_from(lambda: EMPTY_DOCUMENT)("pool") == NEUTRAL_WEIGHTS
