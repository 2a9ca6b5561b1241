"""Store and followers under any interleaving and any lost response."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from returns.result import Failure, Success

from ebonydeal._internal.config.delta import apply, join, split
from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.follower import ConfigFollower
from ebonydeal._internal.config.rows import VersionInfo, version_key
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Metrics
from tests.lib.config_fakes import AutoAdvancingClock, FakeTables

NODES = 3
WRITE_FAULTS = st.sampled_from(["ok", "ok", "down", "lost", "late"])
READ_FAULTS = st.sampled_from(["ok"] * 5 + ["down"])


class Proposal:
    """One proposal, run one table call at a time."""

    def __init__(self, tables, number, base):
        self.id = f"p{number}"
        self.base = base
        self.document = example_document("palermo")
        self.document["deployments"][0]["replicas"]["max"] = 100 + number
        self.store = ConfigStore(tables, AutoAdvancingClock(), random.Random(number))
        self.outcome = None
        self.attempted_before = False
        self.begin()

    def begin(self):
        self.run = self.store.propose(
            self.document, self.base, self.id, "", proposal=self.id
        )

    def step(self):
        """Run to the next table call; record the outcome at the end."""
        try:
            self.run.send(None)
        except StopIteration as stop:
            self.outcome = stop.value
        except EbonydealError as exc:
            self.outcome = exc.kind


class ConfigMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.tables = FakeTables()
        self.running = []
        self.ended = []
        self.started = 0
        self.nodes = [self.new_node() for _ in range(NODES)]
        self.highest = [0] * NODES
        self.polling = {}

    def new_node(self):
        return ConfigFollower(
            self.tables, Metrics(), AutoAdvancingClock(), random.Random(1)
        )

    def head(self):
        row = self.tables.rows.get("config/head")
        return 0 if row is None else row.value["version"]

    def versions(self):
        rows = [self.tables.rows[version_key(v)] for v in range(1, self.head() + 1)]
        return [VersionInfo.from_row(row.value) for row in rows]

    @precondition(lambda self: len(self.running) < 3)
    @rule(behind=st.sampled_from([0, 0, 0, 1]))
    def propose(self, behind):
        self.started += 1
        base = max(0, self.head() - behind)
        self.running.append(Proposal(self.tables, self.started, base))

    @precondition(lambda self: self.running)
    @rule(
        pick=st.integers(0, 2),
        steps=st.sampled_from([1, 2, 3, 20]),
        read=READ_FAULTS,
        write=WRITE_FAULTS,
    )
    def step(self, pick, steps, read, write):
        proposal = self.running[pick % len(self.running)]
        self.tables.faults = [read]
        self.tables.write_faults = [write]
        for _ in range(steps):
            proposal.step()
            if proposal.outcome is not None:
                self.running.remove(proposal)
                self.ended.append(proposal)
                break
        self.tables.faults = []
        self.tables.write_faults = []

    @precondition(lambda self: self.ended)
    @rule(pick=st.integers(0, 9))
    def repeat(self, pick):
        proposal = self.ended[pick % len(self.ended)]
        if proposal.outcome in (ErrorKind.STORE_IN_DOUBT, ErrorKind.STORE_UNAVAILABLE):
            self.ended.remove(proposal)
            proposal.outcome = None
            proposal.attempted_before = True
            proposal.begin()
            self.running.append(proposal)

    @precondition(lambda self: self.running)
    @rule(pick=st.integers(0, 2))
    def lost_in_an_outage(self, pick):
        """Lose the response of an applied or late commit, then fail all calls."""
        proposal = self.running[pick % len(self.running)]
        self.tables.write_faults = [["lost", "late"][pick % 2], *["down"] * 30]
        self.finish(proposal)
        self.running.remove(proposal)
        self.tables.write_faults = []

    def finish(self, proposal):
        while proposal.outcome is None:
            proposal.step()
        self.ended.append(proposal)

    @rule()
    def apply_late_writes(self):
        self.tables.apply_late_writes()

    @rule(
        node=st.integers(0, NODES - 1),
        steps=st.sampled_from([1, 2, 3, 20]),
        read=READ_FAULTS,
    )
    def refresh(self, node, steps, read):
        self.tables.faults = [read]
        polling = self.polling.pop(node, None) or self.nodes[node].try_refresh()
        self.polling[node] = polling
        try:
            for _ in range(steps):
                polling.send(None)
        except StopIteration:
            del self.polling[node]
        self.tables.faults = []

    @rule(node=st.integers(0, NODES - 1))
    def restart(self, node):
        self.nodes[node] = self.new_node()
        self.polling.pop(node, None)
        self.highest[node] = 0

    @rule(
        a=st.integers(0, NODES - 1),
        b=st.integers(0, NODES - 1),
        times=st.integers(0, 2),
    )
    def peers(self, a, b, times):
        payload = self.nodes[a].topic.payload_for(self.nodes[b].topic.digest())
        for _ in range(times if payload else 0):
            self.nodes[b].topic.receive(payload)

    @invariant()
    def one_winner_per_version(self):
        infos = self.versions()
        assert [info.version for info in infos] == list(range(1, len(infos) + 1))
        ids = [info.proposal for info in infos]
        assert len(set(ids)) == len(ids)

    @invariant()
    def outcomes_are_true(self):
        by_id = {info.by: info.version for info in self.versions()}
        for proposal in self.ended:
            match proposal.outcome:
                case Success(version):
                    assert by_id[proposal.id] == version
                case Failure():
                    assert proposal.id not in by_id
                case ErrorKind.STORE_UNAVAILABLE if not proposal.attempted_before:
                    assert proposal.id not in by_id

    @invariant()
    def content_is_the_fold_of_versions(self):
        items = {}
        folded = {0: items}
        for info in self.versions():
            items = apply(items, info.delta)
            folded[info.version] = items
        stored = {
            key.removeprefix("config/items/"): row.value["value"]
            for key, row in self.tables.rows.items()
            if key.startswith("config/items/")
        }
        assert stored == {str(key): value for key, value in items.items()}
        for node in self.nodes:
            content = node.topic.content
            assert content.items == folded[content.version]

    @invariant()
    def nodes_never_adopt_older(self):
        now = [node.document.version for node in self.nodes]
        for before, after in zip(self.highest, now, strict=True):
            assert after >= before
        self.highest = now

    def teardown(self):
        self.tables.apply_late_writes()
        for proposal in self.running:
            self.finish(proposal)
        self.one_winner_per_version()
        self.outcomes_are_true()
        for node in self.nodes:
            assert run_to_end(node.try_refresh())
            assert node.document.version == self.head()
            if self.head():
                last = {p.id: p for p in self.ended}[self.versions()[-1].by]
                assert join(node.topic.content.items) == join(split(last.document))


def run_to_end(coroutine):
    """Run a coroutine that uses the fake table to its end."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value


TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = settings(max_examples=100, stateful_step_count=40)
