import pytest
from click.testing import CliRunner

from ebonydeal._internal.benchmarks.routing import report
from ebonydeal._internal.benchmarks.routing.admission_run import run_admission
from ebonydeal._internal.benchmarks.routing.engine import EngineModel, Job
from ebonydeal._internal.benchmarks.routing.loop import SignalConditions
from ebonydeal._internal.benchmarks.routing.retry_run import PHASES, run_retries
from ebonydeal._internal.benchmarks.routing.suite import (
    USERS,
    estimate,
    policies,
    run_seeds,
)
from ebonydeal._internal.benchmarks.routing.traces import PALERMO, palermo_trace
from ebonydeal._internal.cli.main import main
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.settings.routing import RetrySettings, RoutingSettings


class TestEngineModel:
    def test_cached_prompt_is_not_prefilled_again(self):
        engine = EngineModel(PALERMO)
        request = palermo_trace(1, 5.0, 1.0)[0]
        first = engine.enqueue(Job(request, 0, 0.0), 0.0)
        assert first.cached_tokens == 0
        engine.finish_prefill(first)
        engine.finish_answer(first.job)
        again = engine.enqueue(Job(request, 0, 9.0), 9.0)
        assert again.cached_tokens == len(request.blocks) * 16

    def test_cache_is_bounded_and_evictions_are_reported(self):
        engine = EngineModel(PALERMO._replace(cache_blocks=10))
        request = palermo_trace(1, 5.0, 1.0)[0]
        engine.finish_prefill(engine.enqueue(Job(request, 0, 0.0), 0.0))
        evicted = [event for event in engine.take_events() if not event.stored]
        assert len(evicted) == len(request.blocks) - 10


class TestTraces:
    def test_same_seed_gives_the_same_trace(self):
        assert palermo_trace(3, 10.0, 1.0) == palermo_trace(3, 10.0, 1.0)
        assert palermo_trace(3, 10.0, 1.0) != palermo_trace(4, 10.0, 1.0)


class TestTargets:
    @pytest.mark.parametrize("user", USERS, ids=lambda user: user.shape.name)
    def test_router_recomputes_at_most_six_tenths_at_no_worse_p95(self, user):
        by_name = policies(RoutingSettings())
        plan = (SignalConditions(lag=1.0, loss=0.1), (1,), 40.0, 1.0)
        (router,) = run_seeds(user, by_name[report.ROUTER], *plan)
        (baseline,) = run_seeds(user, by_name[report.BASELINE], *plan)
        assert router.answers == baseline.answers
        assert router.recomputed <= 0.6 * baseline.recomputed
        assert router.p95 <= baseline.p95

    def test_complete_failure_causes_at_most_eleven_tenths_of_the_sends(self):
        outcomes = run_retries(RetrySettings(), 1)
        assert PHASES[2].failure_share == 1.0
        assert outcomes[2].answered == 0
        assert outcomes[2].sends <= 1.1 * outcomes[2].requests


class TestAdmissionRun:
    def test_under_overload_none_starts_late_and_every_request_is_answered(self):
        outcomes = run_admission(1.5, 1)
        for outcome in outcomes.values():
            answered = outcome.in_time + sum(outcome.refused.values())
            assert (outcome.late, answered) == (0, outcome.offered)
        first = outcomes[Priority.INTERACTIVE]
        assert first.in_time == first.offered


class TestFigure:
    def test_interval_of_equal_values_is_zero(self):
        assert estimate([2.0, 2.0, 2.0]) == (2.0, 0.0)

    def test_interval_of_two_values(self):
        assert estimate([1.0, 3.0]).half_width == pytest.approx(12.71)


class TestCommand:
    def test_prints_and_writes_the_same_tables(self, tmp_path, monkeypatch):
        monkeypatch.setattr(report, "ENDPOINT_COUNTS", (5,))
        monkeypatch.setattr(report, "_LIMIT_KINDS", ())
        monkeypatch.setattr(report, "_OVERLOADS", (3.0,))
        monkeypatch.setattr(report, "LAGS", (1.0,))
        monkeypatch.setattr(report, "LOSSES", ())
        out = str(tmp_path)
        args = ["bench", "routing", "--seeds", "1", "--seconds", "5", "--out", out]
        result = CliRunner().invoke(main, args)
        assert result.exit_code == 0, result.output
        text = (tmp_path / "routing-seed1.txt").read_text(encoding="utf-8")
        assert text in result.output
        assert text.count("random of two") == 4


class TestHerding:
    def test_old_reports_do_not_send_all_gateways_to_the_same_endpoints(self):
        user = USERS[0]
        router = policies(RoutingSettings())[report.ROUTER]
        (run,) = run_seeds(user, router, SignalConditions(lag=5.0), (2,), 20.0, 1.0)
        assert run.in_time >= 0.9 * run.answers
