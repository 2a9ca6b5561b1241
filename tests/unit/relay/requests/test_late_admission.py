"""A request that waited after its admission is admitted again before its first send.

Requests count in the window in which they are sent: those that had waited for an
endpoint, or at suspended relays, would exceed what that window grants.
"""

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun, ProvedNotRun
from ebonydeal._internal.relay.requests.quota import QuotaLimiter
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.routing.admission.early_refusal import EarlyRefusal
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.quota_broker import Balances, Grant
from tests.lib.limits_cluster import limited_account
from tests.unit.relay.requests.test_job_sends import job, parts

ACCOUNT = limited_account(60.0)
BOUNDS = QuotaBounds(4.0, 0.1, 0.0)


class StubGrants:
    """Grants everything, or nothing."""

    def __init__(self):
        self.balances = Balances()
        self.amounts = []
        self.wait = 0.0

    async def grant(self, _account, amount):
        if self.wait:
            return Grant(0.0, self.wait)
        self.amounts.append(amount)
        return Grant(amount, 0.0)


@pytest.fixture
async def admitted():
    """Return the grants, the clock, and the sends of a request just admitted."""
    found = parts()
    found.refusal = EarlyRefusal(0.0)
    grants = StubGrants()
    limiter = QuotaLimiter(grants, found.clock, BOUNDS)
    admission = await limiter.admit(ACCOUNT, 1.0, 0.0)
    made = job(Repeat.IDEMPOTENT, False)._replace(admission=admission, account=ACCOUNT)
    return grants, found.clock, JobSends(found, made)


class TestFirstSend:
    async def test_before_expiry_uses_the_admission(self, admitted):
        grants, clock, sends = admitted
        clock._now += BOUNDS.max_send_delay_s(ACCOUNT) * 0.9
        await sends.choose()
        assert grants.amounts == [1.0]

    async def test_after_expiry_is_admitted_again(self, admitted):
        grants, clock, sends = admitted
        clock._now += BOUNDS.max_send_delay_s(ACCOUNT) * 1.1
        await sends.choose()
        assert grants.amounts == [1.0, 1.0]

    async def test_after_expiry_may_be_refused(self, admitted):
        grants, clock, sends = admitted
        grants.wait = 0.7
        clock._now += 2.0
        with pytest.raises(EbonydealError) as caught:
            await sends.choose()
        assert caught.value.kind is ErrorKind.RATE_LIMITED
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after == 0.7


class TestResend:
    async def test_after_proof_of_no_run_is_admitted_again(self, admitted):
        grants, clock, sends = admitted
        await sends.choose()
        sends.check_resend(ProvedNotRun(503))
        clock._now += 1.0
        await sends.choose()
        assert grants.amounts == [1.0, 1.0]

    async def test_after_a_possible_run_is_not_counted_again(self, admitted):
        grants, clock, sends = admitted
        await sends.choose()
        sends.check_resend(MayHaveRun(ErrorKind.ENDPOINT_FAILED, "reset"))
        clock._now += 1.0
        await sends.choose()
        assert grants.amounts == [1.0]
