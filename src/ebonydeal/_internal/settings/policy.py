"""Parameters of the relay's decisions.

The measurements behind the defaults are in docs/design/decisions.md. The help of a key
says which value disables its mechanism.
"""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class PolicySettings(NamedTuple):
    """``[policy]``: how the relay limits, selects, waits and scales."""

    # --- client accounts' limits
    quota_overdraft: Annotated[
        float,
        Key(
            "Usable share of the debt allowed to an account, "
            "so that large requests are admitted like small ones; 0 is off.",
            "",
            0,
            1,
        ),
    ] = 1.0
    quota_small: Annotated[
        float,
        Key(
            "Requests below this share of their account's mean are admitted while "
            "larger ones wait for its limit; 0 is off.",
            "",
            0,
            1,
        ),
    ] = 0.1
    quota_wait: Annotated[
        float,
        Key(
            "Maximum wait for an account's limit; 0 is off.",
            "objectives of the route",
            0,
            1,
        ),
    ] = 0.25
    # --- shortage of a service
    fair_shares: Annotated[
        bool,
        Key(
            "Divide a service's capacity fairly among client accounts while their "
            "requests exceed nine tenths of it; plain services need learn_capacity, "
            "too; false is off."
        ),
    ] = False
    return_tickets: Annotated[
        bool,
        Key(
            "With fair_shares: tell clients beyond their share when to return, with a "
            "ticket that lets them go before new requests; false is off."
        ),
    ] = False
    # --- choice of an endpoint
    home_trust: Annotated[
        float,
        Key("Trust that the home of a session caches its prompt; 0 is off.", "", 0, 1),
    ] = 0.8
    fetch_tokens: Annotated[
        int,
        Key(
            "Minimum prompt tokens fetched from another endpoint; 0 is off.",
            "tokens",
            0,
            1000000000,
        ),
    ] = 400
    reread_weight: Annotated[
        float,
        Key("Weight of the time to prefill a prompt part again; 1 is off.", "", 1, 100),
    ] = 1.5
    long_prompts: Annotated[
        bool, Key("Learn by how much a long prompt exceeds proportional prefill time.")
    ] = True
    others_loads: Annotated[
        bool, Key("Consider the requests of other relays at endpoints.")
    ] = True
    others_age: Annotated[
        bool, Key("Deduct likely prefill since their report from other relays' load.")
    ] = True
    tell_long_s: Annotated[
        float,
        Key(
            "Prefill time from which a prompt is announced to all relays at once, as "
            "their requests would wait behind it; 0 is off.",
            "seconds",
            0,
            100,
        ),
    ] = 0.4
    connect_cost_s: Annotated[
        float,
        Key(
            "Cost of an endpoint without an open connection; 0 is off.",
            "seconds",
            0,
            10,
        ),
    ] = 0.006
    use_leaving: Annotated[
        bool, Key("Send short requests to endpoints that are leaving.")
    ] = True
    late_last: Annotated[
        bool,
        Key("Let engines prefill a prompt that will be late anyway after all others."),
    ] = True
    exchange_s: Annotated[
        float,
        Key("Interval of a relay's reports to the coordinator.", "seconds", 0.05, 60),
    ] = 0.5
    learn_capacity: Annotated[
        bool,
        Key(
            "Learn how fast each plain endpoint is and how many requests it handles "
            "well, and select endpoints by that; no is off."
        ),
    ] = False
    learn_speeds: Annotated[
        bool,
        Key(
            "Learn how fast each engine is relative to its service, for placement, "
            "early refusal and fleet scaling; off treats all engines as equally fast."
        ),
    ] = False
    # --- requests that crash endpoints
    quarantine_crashes: Annotated[
        int,
        Key(
            "Endpoints that may crash under one request before it is refused: others "
            "that ran in one or two of these crashes are not affected; 0 is off.",
            "endpoints",
            0,
            1000,
        ),
    ] = 3
    quarantine_part_crashes: Annotated[
        int,
        Key(
            "Endpoints that may crash under requests with one part of their prompts "
            "before such requests are refused. A part that was in a success is not "
            "affected; 0 is off.",
            "endpoints",
            0,
            1000,
        ),
    ] = 4
    quarantine_s: Annotated[
        float,
        Key(
            "Time for which a crash is remembered: as long as operators may need to "
            "fix its cause.",
            "seconds",
            1,
            86400,
        ),
    ] = 1800.0
    # --- timeouts and resends
    first_patience: Annotated[
        float,
        Key(
            "Timeout of the first event, after which a stream is resent.",
            "objectives",
            0.1,
            100,
        ),
    ] = 1.0
    first_spread: Annotated[
        float,
        Key(
            "The same timeout in expected times to the first event; 0 is off.",
            "expected times",
            0,
            100,
        ),
    ] = 2.0
    first_longest: Annotated[
        float,
        Key(
            "The same while other streams of its endpoint are active; 0 is off.",
            "objectives",
            0,
            100,
        ),
    ] = 3.5
    gap_patience: Annotated[
        float,
        Key(
            "Timeout between events, after which a stream is resent.",
            "longest pauses",
            0.1,
            100,
        ),
    ] = 1.5
    plain_patience: Annotated[
        float,
        Key(
            "Time after which an idempotent plain request is resent; 0 is off.",
            "objectives",
            0,
            100,
        ),
    ] = 0.6
    resend_by_expectation: Annotated[
        bool,
        Key(
            "Resend a request without an answer only where it is expected to be "
            "answered sooner, and refuse plain requests that no endpoint is expected "
            "to answer in time; false cuts and serves them whatever the queues."
        ),
    ] = False
    refuse_limit: Annotated[
        float,
        Key(
            "Expected time to first event above which a stream is refused; 0 is off.",
            "objectives",
            0,
            100,
        ),
    ] = 1.5
    eject_failures: Annotated[
        int, Key("Consecutive failures that eject an endpoint; 0 is off.", "", 0, 1000)
    ] = 3
    avoid_failing: Annotated[
        float,
        Key(
            "Failure rate over all relays from which an endpoint is avoided; 0 is off.",
            "",
            0,
            1,
        ),
    ] = 0.15
    moves: Annotated[
        bool, Key("Migrate the KV cache of streams that would be cut off.")
    ] = True
    # --- fleet scaling
    fleet_use: Annotated[
        float, Key("Target utilization of endpoints.", "", 0.05, 1.0)
    ] = 0.45
    fleet_use_short: Annotated[
        float,
        Key(
            "The same after the zone with the most of them is reclaimed; 0 is off.",
            "",
            0,
            10,
        ),
    ] = 0.7
    fleet_use_last: Annotated[
        float,
        Key(
            "The same after the two zones with the most are reclaimed; 0 is off.",
            "",
            0,
            10,
        ),
    ] = 0.7
    fleet_use_wave: Annotated[
        float,
        Key(
            "The same for on-demand endpoints alone during a reclaim burst; 0 is off.",
            "",
            0,
            10,
        ),
    ] = 0.7
    fleet_cover: Annotated[
        bool,
        Key("On-demand endpoints cover for the zone that may be reclaimed next."),
    ] = True
    fleet_least_fixed: Annotated[
        bool,
        Key(
            "Fill a zone's minimum with on-demand endpoints while reclaimable ones are"
            " refused."
        ),
    ] = False
    fleet_wave_s: Annotated[
        float,
        Key(
            "Time after the reclaim of a zone in which more may follow.",
            "seconds",
            0,
            3600,
        ),
    ] = 7.0
    fleet_wave_growth: Annotated[
        float,
        Key(
            "Factor by which the forecast may exceed the load before a "
            "reclaim burst; 0 is off.",
            "",
            0,
            100,
        ),
    ] = 1.6
    fleet_peak_s: Annotated[
        float,
        Key("Time for which the highest load is planned for.", "seconds", 0, 3600),
    ] = 6.0
    fleet_dry_s: Annotated[
        float,
        Key(
            "Interval of orders for reclaimable endpoints that were refused.",
            "seconds",
            0.1,
            3600,
        ),
    ] = 1.0
    fleet_found: Annotated[
        bool, Key("Keep the initial fleet until its load is measured.")
    ] = True
