"""What one relay takes of settings that stand for all relays together."""

from ebonydeal._internal.settings.policy import PolicySettings
from ebonydeal._internal.settings.relay import RelaySettings
from ebonydeal._internal.settings.routing import RetrySettings, RoutingSettings

# Part of the shared retry budget that is spent: relays that come or go, and
# sends that are counted later than they are made, need the rest.
_BUDGET_USED = 0.7
_MOST_TRIES = 4
# Relays assumed before a coordinator told how many there are: the seeds are only some
# of them.
INITIAL_RELAY_COUNT = 12


def seed_addresses(text: str) -> tuple[str, ...]:
    """Return the addresses of a comma separated list."""
    return tuple(word.strip() for word in text.split(",") if word.strip())


def retry_share(cfg: RelaySettings, relays: int) -> RetrySettings:
    """Return the part of the shared retry budget that one relay may spend."""
    return RetrySettings(
        budget=cfg.retry_ratio * _BUDGET_USED,
        budget_cap=max(1.0, cfg.retry_extra * _BUDGET_USED / max(1, relays)),
        attempts=_MOST_TRIES,
        backoff=0.0,
    )


def initial_retries(cfg: RelaySettings, relays: int) -> float:
    """Return what a relay may spend when it starts, before it has earned anything.

    All relays may start at the same moment.
    """
    spare = cfg.retry_extra * (1.0 - _BUDGET_USED)
    return 1.0 if relays <= spare else 0.0


def outlier_settings(cfg: RoutingSettings, policy: PolicySettings) -> RoutingSettings:
    """Return when a relay's endpoints are ejected, and for how long."""
    never = 10**9
    failures = policy.eject_failures or never
    return cfg._replace(eject_failures=failures, eject_time=1.0, return_time=2.0)
