"""Settings of one relay, derived from settings for all relays together."""

from ebonydeal._internal.settings.policy import PolicySettings
from ebonydeal._internal.settings.relay import RelaySettings
from ebonydeal._internal.settings.routing import RetrySettings, RoutingSettings

# Fraction of the shared retry budget that relays earn and save. The rest of the
# additional retries is for relays that start; the rest of the ratio is a margin for
# sends that are counted later than they are made.
_BUDGET_FRACTION = 0.7
_MAX_ATTEMPTS = 4
# Number of relays assumed until a coordinator reports it: the seeds are only some of
# them.
INITIAL_RELAY_COUNT = 12


def seed_addresses(text: str) -> tuple[str, ...]:
    """Return the addresses in a comma-separated list."""
    return tuple(part.strip() for part in text.split(",") if part.strip())


def retry_share(cfg: RelaySettings, relays: int) -> RetrySettings:
    """Return one relay's share of the shared retry budget."""
    return RetrySettings(
        budget=cfg.retry_ratio * _BUDGET_FRACTION,
        budget_cap=max(1.0, cfg.retry_extra * _BUDGET_FRACTION / max(1, relays)),
        attempts=_MAX_ATTEMPTS,
        backoff=0.0,
    )


def start_retry_limit(cfg: RelaySettings) -> int:
    """Return how many relays that start may get a retry in one window."""
    return int(cfg.retry_extra * (1.0 - _BUDGET_FRACTION))


def outlier_settings(cfg: RoutingSettings, policy: PolicySettings) -> RoutingSettings:
    """Return the settings of when and for how long a relay ejects endpoints."""
    never = 10**9
    failures = policy.eject_failures or never
    return cfg._replace(eject_failures=failures, eject_time=1.0, return_time=2.0)
