"""The JSON API, and the commands that call it."""

import asyncio
import json
import socket
import threading

import pytest
from click.testing import CliRunner
from structlog.testing import capture_logs

from ebonydeal._internal.cli.main import main
from ebonydeal._internal.config.examples import example_document
from tests.functional.console.test_status import view
from tests.lib.console import TOKENS, ConsoleFixture

HEADERS = {"Authorization": f"Bearer {TOKENS['nia']}"}


def make_document(max_replicas):
    document = example_document("cadwaladr")
    document["deployments"][0]["replicas"]["max"] = max_replicas
    return document


class TestApi:
    async def post(self, filled, body, headers=HEADERS):
        browser = await filled.browser()
        resp = await browser.client.post("/api/document", json=body, headers=headers)
        return resp.status, await resp.json()

    @pytest.mark.parametrize(
        "headers", [{}, {"Authorization": "Bearer x"}, {"Authorization": "Basic bmlh"}]
    )
    async def test_missing_or_wrong_token_is_refused(self, filled, headers):
        status, body = await self.post(filled, {}, headers)
        assert (status, body["error"]["code"]) == (401, "unauthorized")

    async def test_session_cookie_is_not_enough(self, filled):
        browser = await filled.browser("nia")
        resp = await browser.client.get("/api/document")
        assert resp.status == 401

    async def test_valid_document_is_accepted(self, filled):
        body = {"document": make_document(80), "base_version": 1, "note": "n"}
        assert await self.post(filled, body) == (200, {"version": 2})
        info = await filled.store.version(2)
        assert (info.by, info.note) == ("nia", "n")

    async def test_invalid_document_is_refused_with_all_problems(self, filled):
        document = make_document(3)
        document["deployments"][0]["price_ceiling_per_hour"] = 0.5
        status, body = await self.post(
            filled, {"document": document, "base_version": 1}
        )
        assert (status, body["error"]["code"]) == (422, "bad_document")
        assert [problem["where"] for problem in body["problems"]] == [
            "deployments[0].price_ceiling_per_hour",
            "deployments[0].replicas.min",
        ]

    async def test_conflict_lists_the_changes(self, filled):
        await filled.store.propose(make_document(80), 1, "rhys", "fewer")
        body = {"document": make_document(70), "base_version": 1}
        status, body = await self.post(filled, body)
        assert (status, body["error"]["code"]) == (409, "config_conflict")
        assert body["conflict"]["head"] == 2
        assert body["conflict"]["versions"][0]["by"] == "rhys"
        assert body["conflict"]["differences"] == [
            "~ deployments/kitchen replicas.max: 90 -> 80"
        ]

    @pytest.mark.parametrize(
        "body",
        [
            {},
            {"document": {}},
            {"document": {}, "base_version": "1"},
            {"document": {}, "base_version": True},
            {"document": {}, "base_version": 1, "note": 3},
            {"document": {}, "base_version": 1, "proposal": []},
            {"document": {}, "base_version": 1, "note": "\ud800"},
        ],
    )
    async def test_malformed_body_is_refused(self, filled, body):
        status, answer = await self.post(filled, body)
        assert (status, answer["error"]["code"]) == (400, "bad_request")

    @pytest.mark.parametrize("document", [None, [], "x", {}, {"accounts": {}}])
    async def test_value_that_is_no_document_is_refused(self, filled, document):
        body = {"document": document, "base_version": 1}
        status, answer = await self.post(filled, body)
        assert status == 422
        assert answer["problems"]

    @pytest.mark.parametrize(
        "path", ["/api/diff", "/api/diff?a=x", "/api/document?version=1.5"]
    )
    async def test_invalid_query_number_is_refused(self, filled, path):
        browser = await filled.browser()
        resp = await browser.client.get(path, headers=HEADERS)
        assert resp.status == 400


class ServerThread:
    """Runs the fixture's server in a separate thread and event loop."""

    def __init__(self, console):
        self.console = console
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def __enter__(self):
        self.thread.start()
        self.call(self.console.server.start_server())
        return self

    def __exit__(self, *exc):
        self.call(self.console.server.close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(30)
        self.loop.close()


@pytest.fixture
def online():
    console = ConsoleFixture()
    # Captured because the server's logs would mix with the command's output.
    with capture_logs(), ServerThread(console):
        url = str(console.server.make_url("/"))
        env = {"EBONYDEAL_CONSOLE": url, "EBONYDEAL_TOKEN": TOKENS["nia"]}

        def run(*args, **extra):
            return CliRunner().invoke(main, args, env={**env, **extra})

        run.console = console
        yield run


@pytest.fixture
def write(tmp_path):
    def write(content, name="document.json"):
        file = tmp_path / name
        file.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(file)

    return write


class TestDocumentCommand:
    def test_apply_show_diff_history(self, online, write):
        first = online("document", "apply", write(make_document(90)), "--note", "first")
        assert (first.exit_code, first.stdout) == (0, "version 1 is in force\n")
        assert online("document", "apply", write(make_document(80))).exit_code == 0
        shown = online("document", "show", "--version", "1")
        assert json.loads(shown.stdout)["deployments"][0]["replicas"]["max"] == 90
        assert online("document", "diff", "1").stdout == (
            "~ deployments/kitchen replicas.max: 90 -> 80\n"
        )
        lines = online("document", "history").stdout.splitlines()
        assert [line.split()[0] for line in lines] == ["version", "2", "1"]
        assert lines[2].endswith("first")

    def test_conflict_fails_with_the_differences(self, online, write):
        online("document", "apply", write(make_document(90)))
        online("document", "apply", write(make_document(80)), "--base", "1")
        late = online("document", "apply", write(make_document(70)), "--base", "1")
        assert late.exit_code == 4
        assert "version 2 by nia" in late.stderr
        assert "replicas.max: 90 -> 80" in late.stderr

    def test_invalid_document_fails_with_all_problems(self, online, write):
        document = make_document(3)
        document["deployments"][0]["zones"] = ["nowhere"]
        refused = online("document", "apply", write(document))
        assert refused.exit_code == 3
        assert "deployments[0].zones[0]: no zone is named 'nowhere'" in refused.stderr
        assert "deployments[0].replicas.min" in refused.stderr

    def test_retry_with_the_same_proposal_after_an_unknown_outcome(self, online, write):
        online.console.tables.write_faults = ["lost", *["down"] * 30]
        doubt = online(
            "document", "apply", write(make_document(90)), "--proposal", "p-7"
        )
        assert doubt.exit_code == 6
        online.console.tables.write_faults = []
        args = ("document", "apply", write(make_document(90)), "--proposal", "p-7")
        again = online(*args, "--base", "0")
        assert (again.exit_code, again.stdout) == (0, "version 1 is in force\n")

    def test_wrong_token_fails_with_a_hint(self, online, write):
        result = online(
            "document", "apply", write(make_document(90)), EBONYDEAL_TOKEN="x"
        )
        assert result.exit_code == 7
        assert "EBONYDEAL_TOKEN" in result.stderr

    def test_unreachable_console_fails_with_a_hint(self, write):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{taken.getsockname()[1]}"
            args = ["document", "apply", write(make_document(90)), "--console", url]
            result = CliRunner().invoke(main, [*args, "--base", "0"])
        assert result.exit_code == 5
        assert "Check --console" in result.stderr

    def test_online_check_includes_prices(self, online, write):
        document = make_document(90)
        document["deployments"][0]["price_ceiling_per_hour"] = 0.5
        assert online("document", "check", write(document)).exit_code == 0
        checked = online("document", "check", write(document), "--online")
        assert checked.exit_code == 3
        assert "0.5 is under every offer" in checked.stderr


class TestDocumentCheck:
    @pytest.mark.parametrize(
        ("content", "code"),
        [("{", 2), ("[1, 2", 2), ("[" * 200_000, 2), ("[]", 3), ("{}", 3), ("NaN", 3)],
    )
    def test_invalid_files_fail_without_a_traceback(self, write, content, code):
        result = CliRunner().invoke(main, ["document", "check", write(content)])
        assert result.exit_code == code
        assert isinstance(result.exception, SystemExit)
        assert result.stderr

    def test_json_output_lists_problems(self, write):
        result = CliRunner().invoke(main, ["document", "check", "--json", write("{}")])
        wheres = [item["where"] for item in json.loads(result.stdout)["problems"]]
        assert wheres == ["accounts", "currency", "deployments", "regions"]

    def test_examples_are_valid(self, write):
        for name in ("cadwaladr", "palermo"):
            text = CliRunner().invoke(main, ["document", "example", name]).stdout
            result = CliRunner().invoke(main, ["document", "check", write(text)])
            assert result.exit_code == 0


class TestStatusCommands:
    def test_status(self, online, write):
        online("document", "apply", write(make_document(90)))
        online.console.instances.views = [view(1, "de-cymru-1")]
        shown = online("status").stdout
        assert "document version 1" in shown
        assert "de-cymru-1=1 de-cymru-2=0" in shown
        assert json.loads(online("status", "--json").stdout)["version"] == 1

    def test_endpoints(self, online):
        online.console.instances.views = [view(1, "de-cymru-1"), view(2, "de-cymru-2")]
        shown = online("endpoints", "--zone", "de-cymru-2").stdout.splitlines()
        assert [line.split()[0] for line in shown] == ["endpoint", "e2"]
        listed = json.loads(online("endpoints", "--json").stdout)["endpoints"]
        assert [item["endpoint_id"] for item in listed] == ["e1", "e2"]

    def test_unavailable_instance_list_is_reported(self, online):
        online.console.instances.down = True
        assert online("endpoints").exit_code == 5
        status = online("status")
        assert status.exit_code == 0
        assert "not known: instance list" in status.stderr


class TestHelp:
    @pytest.mark.parametrize(
        "args",
        [["document"], ["document", "apply"], ["settings"], ["status"], ["endpoints"]],
    )
    def test_help(self, args):
        result = CliRunner().invoke(main, [*args, "--help"])
        assert result.exit_code == 0
        assert result.stdout.startswith("Usage:")

    def test_console_program(self, tmp_path):
        from ebonydeal._internal.cli.console import main as console_main

        for flag in ("--help", "--version"):
            assert CliRunner().invoke(console_main, [flag]).exit_code == 0
        file = tmp_path / "node.ini"
        file.write_text("[console]\noperators = nia\n")
        result = CliRunner().invoke(console_main, ["--settings", str(file)])
        assert result.exit_code == 2
        assert "ebonydeal key new" in result.stderr
