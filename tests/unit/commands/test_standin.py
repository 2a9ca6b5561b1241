import json

import pytest
from click.testing import CliRunner

from ebonydeal._internal.cli.main import main
from ebonydeal._internal.commands.standin import read_document, read_replicas
from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.standin.load import LoadSpec
from ebonydeal._internal.standin.platform_spec import PlatformSpec


def run_command(*args):
    return CliRunner().invoke(main, list(args))


class TestBadInput:
    @pytest.mark.parametrize(
        ("args", "message"),
        [
            (["standin", "engine"], "Missing option '--model'"),
            (["standin", "all", "--replicas", "kitchn=3"], "one of kitchen, paperwork"),
            (["standin", "all", "--replicas", "kitchen"], "NAME=COUNT"),
            (["standin", "all", "--document", "none.json"], "none.json"),
            (["standin", "tables", "--port", "70000"], "0<=x<=65535"),
            (["bench", "load", "--url", "http://127.0.0.1:1"], "Missing option"),
        ],
    )
    def test_bad_options_are_reported_and_nothing_starts(self, args, message):
        result = run_command(*args)
        assert result.exit_code != 0
        assert message in result.output

    def test_an_invalid_endpoint_in_the_list_file_is_reported(self, tmp_path):
        file = tmp_path / "list.json"
        file.write_text(json.dumps({"endpoints": [{"endpoint_id": "i-1"}]}))
        result = run_command("standin", "instances", str(file))
        assert result.exit_code == 1
        assert "incarnation" in result.output


class TestWorldSpecFromDocument:
    def test_replicas_by_name_and_default(self):
        document = read_document("cadwaladr")
        replicas = read_replicas(("kitchen=7",), document, 2)
        assert replicas == {"kitchen": 7, "paperwork": 2}

    def test_places_fleets_and_offers(self):
        document = example_document("cadwaladr")
        spec = PlatformSpec.from_document(document, {"kitchen": 4}, seed=9)
        assert spec.places[0] == Place("de-cymru", "de-cymru-1")
        assert [
            (deployment.name, deployment.replicas) for deployment in spec.deployments
        ] == [
            ("kitchen", 4),
            ("paperwork", 0),
        ]
        assert "covers-13b" in spec.deployments[0].models
        assert len(spec.offers) == 2 * len(spec.places)
        assert spec.seed == 9


class TestLoadSpecFromDocument:
    def test_an_account_without_model_or_service_is_refused(self):
        document = example_document("cadwaladr")
        spec = LoadSpec.from_document(document, "breakfast", "key")
        assert (spec.model, spec.service) == ("covers-13b", "paperwork")
        with pytest.raises(ValueError, match="accounts-office"):
            LoadSpec.from_document(document, "accounts-office", "key")
