import json

from click.testing import CliRunner

from ebonydeal._internal.cli.main import main


def log_line(node, at, event, request="r1", **fields):
    message = {"request": request, "event": event, "timestamp": at, **fields}
    return f"  1.0 {node} {json.dumps(message)}\n"


LOG = (
    log_line("n2", "2026-01-01T00:00:02Z", "relay.job: Send failed.", again=False)
    + log_line("n1", "2026-01-01T00:00:01Z", "relay.job: Sent.", endpoint="i1")
    + log_line("n1", "2026-01-01T00:00:00Z", "relay.job: Sent.", request="r10")
    + "not json r1 {\n"
)


class TestStory:
    def test_lines_of_one_request_from_all_nodes_are_ordered_by_time(self):
        shown = CliRunner().invoke(main, ["story", "r1"], input=LOG)
        assert shown.exit_code == 0
        first, second = shown.output.splitlines()
        assert "n1  relay.job: Sent.  endpoint=i1" in first
        assert "n2  relay.job: Send failed.  again=False" in second

    def test_an_unknown_request_is_reported(self):
        shown = CliRunner().invoke(main, ["story", "zz"], input=LOG)
        assert shown.exit_code == 1
        assert "no line names request zz" in shown.output
