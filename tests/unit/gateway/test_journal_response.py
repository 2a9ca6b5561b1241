from ebonydeal._internal.gateway.deferred import journal_response
from ebonydeal._internal.models.requests import StoredAnswer
from ebonydeal._internal.peers.journal_client import JournalStatus


class TestJournalResponse:
    def test_binary_answer_reaches_the_caller_unchanged(self):
        sheet = b"%PDF-1.7\xff\x00\x9c"
        answer = StoredAnswer.from_bytes(200, "application/pdf", sheet)
        resp = journal_response(JournalStatus("r-0", "completed", answer))
        assert resp.body == sheet
        assert resp.headers["Content-Type"] == "application/pdf"
