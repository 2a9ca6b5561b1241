"""The terms of the relay's decisions, each with its unit and source.

Defaults were measured round by round: docs/design/decisions.md has the figures. A
mechanism is switched off by the value that its line names.
"""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class PolicySettings(NamedTuple):
    """``[policy]``: how the relay limits, chooses, waits and orders."""

    # --- client accounts' limits
    quota_overdraft: Annotated[
        float,
        Key(
            "Part of the debt that an account may be in, "
            "so that large requests pass like small ones; 0 is off.",
            "",
            0,
            1,
        ),
    ] = 1.0
    quota_small: Annotated[
        float,
        Key(
            "Requests below this part of their account's mean pass while "
            "larger ones wait for its limit; 0 is off.",
            "",
            0,
            1,
        ),
    ] = 0.1
    quota_wait: Annotated[
        float,
        Key(
            "Longest wait for an account's limit; 0 is off.",
            "objectives of the route",
            0,
            1,
        ),
    ] = 0.25
    # --- choice of an endpoint
    home_trust: Annotated[
        float,
        Key("Trust that a session's home holds its prompt parts; 0 is off.", "", 0, 1),
    ] = 0.8
    fetch_tokens: Annotated[
        int,
        Key(
            "Least prompt tokens that are fetched from another endpoint; 0 is off.",
            "tokens",
            0,
            1000000000,
        ),
    ] = 400
    reread_weight: Annotated[
        float,
        Key("Weight of the time to read a prompt part again; 1 is off.", "", 1, 100),
    ] = 1.5
    long_prompts: Annotated[
        bool, Key("Learn how much more than its share a long prompt takes.")
    ] = True
    others_loads: Annotated[
        bool, Key("Take what other relays have at endpoints into account.")
    ] = True
    others_age: Annotated[
        bool, Key("Take off others' waiting prompts what was read since their word.")
    ] = True
    tell_long_s: Annotated[
        float,
        Key(
            "Reading time from which on a prompt is told to all relays at once, as "
            "others would wait behind it; 0 is off.",
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
        bool, Key("Send short requests to endpoints that leave but still serve.")
    ] = True
    late_last: Annotated[
        bool,
        Key("Let engines rank a prompt that will be late anyway behind all others."),
    ] = True
    exchange_s: Annotated[
        float,
        Key("Time between a relay's words to the coordinator.", "seconds", 0.05, 60),
    ] = 0.5
    # --- requests that bring endpoints down
    quarantine_crashes: Annotated[
        int,
        Key(
            "Endpoints that may crash under one request before it is refused: what ran "
            "beside it in one or two has no part in it; 0 is off.",
            "endpoints",
            0,
            1000,
        ),
    ] = 3
    quarantine_s: Annotated[
        float,
        Key(
            "Time for which a crash is remembered: as long as operators may need to "
            "mend what crashes.",
            "seconds",
            1,
            86400,
        ),
    ] = 1800.0
    # --- waiting and sending again
    first_patience: Annotated[
        float,
        Key(
            "Silence before the first event after which a stream goes elsewhere.",
            "objectives",
            0.1,
            100,
        ),
    ] = 1.0
    first_spread: Annotated[
        float,
        Key(
            "The same, in expected times to the first event; 0 is off.",
            "expected times",
            0,
            100,
        ),
    ] = 2.0
    first_longest: Annotated[
        float,
        Key(
            "The same while its endpoint shows life on other streams; 0 is off.",
            "objectives",
            0,
            100,
        ),
    ] = 3.5
    gap_patience: Annotated[
        float,
        Key(
            "Silence between events after which a stream goes elsewhere.",
            "longest pauses",
            0.1,
            100,
        ),
    ] = 1.5
    plain_patience: Annotated[
        float,
        Key(
            "Wait after which a repeatable plain request is sent again; 0 is off.",
            "objectives",
            0,
            100,
        ),
    ] = 0.6
    refuse_limit: Annotated[
        float,
        Key(
            "Expected first event beyond which a stream is refused; 0 is off.",
            "objectives",
            0,
            100,
        ),
    ] = 1.5
    eject_failures: Annotated[
        int, Key("Failures in a row that keep an endpoint out; 0 is off.", "", 0, 1000)
    ] = 3
    avoid_failing: Annotated[
        float,
        Key(
            "Share of failed answers, over all relays, from which on an endpoint is"
            " avoided; 0 is off.",
            "",
            0,
            1,
        ),
    ] = 0.15
    moves: Annotated[
        bool, Key("Pass on the memory of streams that would be cut off.")
    ] = True
    # --- the fleet
    fleet_use: Annotated[
        float, Key("Share of endpoints' capacity that is planned for.", "", 0.05, 1.0)
    ] = 0.45
    fleet_use_short: Annotated[
        float,
        Key(
            "The same while the zone with most of them was taken back; 0 is off.",
            "",
            0,
            10,
        ),
    ] = 0.7
    fleet_use_last: Annotated[
        float,
        Key(
            "The same while the two zones with most of them were; 0 is off.", "", 0, 10
        ),
    ] = 0.7
    fleet_use_wave: Annotated[
        float,
        Key(
            "The same of on-demand endpoints alone while zones are taken "
            "back; 0 is off.",
            "",
            0,
            10,
        ),
    ] = 0.7
    fleet_cover: Annotated[
        bool,
        Key("On-demand endpoints stand in for the zone that may be taken back next."),
    ] = True
    fleet_least_fixed: Annotated[
        bool,
        Key(
            "Fill a zone's least with on-demand endpoints while reclaimable ones are"
            " refused."
        ),
    ] = False
    fleet_wave_s: Annotated[
        float,
        Key(
            "Time after a zone was taken back in which more may follow.",
            "seconds",
            0,
            3600,
        ),
    ] = 7.0
    fleet_wave_growth: Annotated[
        float,
        Key(
            "So much more load than before is believed while zones are "
            "taken back; 0 is off.",
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
            "Time between two questions for reclaimable endpoints that were refused.",
            "seconds",
            0.1,
            3600,
        ),
    ] = 1.0
    fleet_found: Annotated[
        bool, Key("Keep the fleet as it was found until its load was measured.")
    ] = True
