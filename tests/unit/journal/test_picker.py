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

PLACE = Place("wales", "wales-1")
NO_EXCLUSIONS = frozenset()


class FakeViews:
    def __init__(self, *views):
        self.listed = views

    def views(self, deployment):
        return tuple(view for view in self.listed if view.deployment == deployment)

    def is_leaving(self, view):
        return False


def make_picker(*views):
    router = Router(RoutingSettings(), random.Random(1))
    return RoutedPicker(FakeViews(*views), router, PLACE, ManualClock())


def load(running, waiting=0, slots=2):
    return LoadReport(running, waiting, slots, 0.1, 20.0, 1_000_000.0)


class TestRoutedPicker:
    def test_skips_endpoints_without_a_free_slot(self):
        picker = make_picker(
            make_view("full", load=load(2)), make_view("free", load=load(1))
        )
        assert picker.pick(make_request(), NO_EXCLUSIONS).endpoint_id == "free"
        assert picker.pick(make_request(), frozenset({"free"})) is None

    def test_own_runs_occupy_slots_until_they_end(self):
        view = make_view("e-1", load=load(0, slots=1))
        picker = make_picker(view)
        request = make_request()
        assert picker.pick(request, NO_EXCLUSIONS) is view
        picker.record_sent(request, view)
        assert picker.pick(make_request("r-0000-2"), NO_EXCLUSIONS) is None
        picker.record_finished(request, view, ErrorKind.ENDPOINT_FAILED)
        assert picker.pick(make_request("r-0000-2"), NO_EXCLUSIONS) is view

    def test_skips_engines_without_the_model(self):
        picker = make_picker(make_view("e-1", models=("other",)))
        assert picker.pick(make_request(), NO_EXCLUSIONS) is None


class TestRouteRequest:
    def test_prompt_determines_the_prefix_blocks(self):
        text = " ".join(str(number) for number in range(40))
        body = json.dumps({"model": "m", "prompt": text})
        route = route_request(
            make_request(body=body), PLACE, NO_EXCLUSIONS, Weights(2.0, 1.0)
        )
        assert (route.model, len(route.blocks)) == ("m", 2)
        assert route.weights == Weights(2.0, 1.0)

    def test_malformed_body_has_no_model_or_blocks(self):
        route = route_request(
            make_request(body="{"), PLACE, NO_EXCLUSIONS, NEUTRAL_WEIGHTS
        )
        assert (route.model, route.blocks) == ("", ())

    def test_unknown_deployment_has_neutral_weights(self):
        assert weights_from(lambda: EMPTY_DOCUMENT)("pool") == NEUTRAL_WEIGHTS
