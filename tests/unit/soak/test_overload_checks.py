"""Checks of the plain service at an overload: what they count and what they excuse."""

from ebonydeal._internal.soak.checks import (
    faulty_version_exposure_bounded,
    refused_requests_never_run,
)
from ebonydeal._internal.soak.guarantees import Guarantees, OverloadBounds
from ebonydeal._internal.soak.overload_checks import (
    served_after_overload,
    served_at_unequal_endpoints,
    small_accounts_served_in_overload,
)
from ebonydeal._internal.soak.records import (
    ClientResult,
    FaultPeriod,
    Kind,
    LinkCutPeriod,
    Log,
    OrderedRollout,
    OverloadPeriod,
    Run,
    UnequalPeriod,
)

GUARANTEES = Guarantees(
    drain_s=2.0,
    contact_s=3.0,
    apply_s=2.0,
    usage_window_s=2.0,
    quota_window_s=2.0,
    timeout_s=5.0,
    limits=(),
    overload=OverloadBounds(objective_s=0.8, recovery_s=5.0, learning_s=3.0),
)
CHECKS = (
    small_accounts_served_in_overload,
    served_after_overload,
    served_at_unequal_endpoints,
)
BEGIN, END = 20.0, 23.0


def make_log(late=lambda at: False, interval=0.1, account="small"):
    """Return a log of 40 s of plain requests; those for which ``late`` holds are."""
    log = Log(overloads=[OverloadPeriod("large", BEGIN, END)])
    for number in range(int(40.0 / interval)):
        sent = number * interval
        ended = sent + (1.5 if late(sent) else 0.2)
        result = ClientResult(
            f"{number}", Kind.PLAIN, "n1", 7, sent, ended, 200, True, account=account
        )
        log.results.append(result)
    return log


def violated(log, guarantees=GUARANTEES):
    return [v.promise for check in CHECKS for v in check(log, guarantees)]


def in_overload(at):
    return BEGIN <= at <= END


class TestOverload:
    def test_small_accounts_in_time_are_no_violation(self):
        assert violated(make_log()) == []

    def test_small_accounts_that_are_late_are_a_violation(self):
        assert violated(make_log(in_overload)) == ["shares"]

    def test_the_account_that_sends_too_much_may_be_late(self):
        log = make_log()
        excess = make_log(in_overload, account="large").results
        log.results += [result for result in excess if in_overload(result.sent)]
        assert violated(log) == []

    def test_ten_late_requests_are_tolerated(self):
        assert violated(make_log(lambda at: BEGIN <= at < BEGIN + 0.95)) == []
        assert violated(make_log(lambda at: BEGIN <= at < BEGIN + 1.15)) == ["shares"]

    def test_requests_that_were_late_before_count_as_before(self):
        def is_late(at):
            return at < END and round(at * 10.0) % 2 == 0

        assert violated(make_log(is_late)) == []

    def test_a_relay_with_a_fault_and_seconds_with_one_are_excused(self):
        log = make_log(in_overload)
        log.fault_periods = [FaultPeriod("kill", "n1", 17.5, 20.2)]
        assert violated(log) == []
        log.fault_periods = [FaultPeriod("kill", "n2", 19.0, 25.0)]
        assert violated(log) == []

    def test_another_relay_s_earlier_fault_or_a_lost_store_is_no_excuse(self):
        log = make_log(in_overload)
        log.fault_periods = [
            FaultPeriod("kill", "n2", 17.0, 18.0),
            FaultPeriod("store", "", 18.0, 25.0),
        ]
        log.link_cuts = [LinkCutPeriod(("n2",), 15.0, 25.0)]
        assert violated(log) == ["shares"]

    def test_relays_without_the_policy_are_not_checked(self):
        old = GUARANTEES._replace(overload=None)
        assert violated(make_log(lambda at: at > BEGIN), old) == []


class TestRecovery:
    def test_five_seconds_are_allowed(self):
        assert violated(make_log(lambda at: END < at < END + 4.9)) == []

    def test_requests_that_stay_late_are_a_violation(self):
        assert violated(make_log(lambda at: at > END)) == ["recovery"]


class TestUnequal:
    def test_late_requests_at_a_slower_endpoint_are_a_violation(self):
        log = make_log(lambda at: at > 28.0 and round(at * 10.0) % 4 == 0)
        log.overloads = []
        log.unequal_periods = [UnequalPeriod(20.0, 28.0, 39.0)]
        assert violated(log) == ["unequal endpoints"]

    def test_three_seconds_are_allowed_to_learn_it(self):
        log = make_log(lambda at: 20.0 <= at < 22.9 or 28.0 <= at < 30.9)
        log.overloads = []
        log.unequal_periods = [UnequalPeriod(20.0, 28.0, 39.0)]
        assert violated(log) == []


class TestRefusal:
    def test_a_plain_request_refused_as_not_run_that_ran_is_a_violation(self):
        log = Log()
        log.results = [
            ClientResult(
                "r1", Kind.PLAIN_AT_MOST_ONCE, "n1", 7, 1.0, 1.1, 503, True, "r1"
            )
        ]
        log.runs = [Run("r1", "p1", "n1", "small", 1.05, 1e6, False)]
        found = refused_requests_never_run(log, GUARANTEES)
        assert [v.promise for v in found] == ["refusal"]


class TestExposure:
    def test_requests_of_the_plain_service_don_t_hide_a_faulty_version(self):
        """The bound is a share of the requests of the service that is rolled out."""
        log = Log(rollouts=[OrderedRollout("v2", True, 0.0, 9.0)])
        log.runs = [
            Run(f"r{n}", "e1", "n1", "large", 1.0, 1e6, False, "v2") for n in range(70)
        ]
        assert len(list(faulty_version_exposure_bounded(log, GUARANTEES))) == 1
        log.runs += [
            Run(f"p{n}", "p1", "n1", "small", 1.0, 1e6, False, "v1", plain=True)
            for n in range(1000)
        ]
        assert len(list(faulty_version_exposure_bounded(log, GUARANTEES))) == 1
