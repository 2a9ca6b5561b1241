import json

from ebonydeal._internal.peers.demand import MAX_DIGEST_BYTES, DemandTopic
from ebonydeal._internal.routing.limits.demand import Demand, DemandReport


def report(gateway: str, seq: int = 1, rate: float = 1.0) -> DemandReport:
    return DemandReport(gateway, seq, {"inns": Demand(rate, 2.0, 3.0, 4.0)})


class TestDemandTopic:
    def make(self, name: str = "me"):
        received: list[DemandReport] = []
        return DemandTopic(lambda: report(name), received.append), received

    def test_reports_are_forwarded_through_a_third(self):
        a, _ = self.make("a")
        b, _ = self.make("b")
        c, received = self.make("c")
        b.payload_for(a.digest())
        assert c.payload_for(b.digest()) is None
        assert sorted(received) == [report("a"), report("b")]

    def test_older_and_own_reports_are_ignored(self):
        topic, received = self.make("me")
        topic.receive([report("x", 2).to_message(), report("x", 1).to_message()])
        topic.receive([report("x", 2).to_message(), report("me", 9).to_message()])
        assert received == [report("x", 2)]

    def test_malformed_reports_are_ignored(self):
        topic, received = self.make()
        for bad in (None, 7, [1], [{}], [{"gateway": "x", "seq": 1, "demands": 3}]):
            topic.receive(bad)
        assert received == []

    def test_digest_is_bounded_and_sends_all_in_turn(self):
        topic, _ = self.make()
        names = {f"g{n}" for n in range(40)}
        topic.receive([report(name).to_message() for name in names])
        sent = set()
        for _ in range(4):
            digest = topic.digest()
            assert len(digest) > 10
            assert sum(len(json.dumps(item)) for item in digest) <= MAX_DIGEST_BYTES
            assert digest[0]["gateway"] == "me"
            sent |= {item["gateway"] for item in digest[1:]}
        assert sent == names

    def test_forgotten_gateway_is_not_sent(self):
        topic, _ = self.make()
        topic.receive([report("x").to_message()])
        topic.forget("x")
        assert [item["gateway"] for item in topic.digest()] == ["me"]

    def test_numbers_are_rounded(self):
        topic = DemandTopic(lambda: report("me", rate=1 / 3), lambda _: None)
        assert topic.digest()[0]["demands"]["inns"][0] == 0.3333
