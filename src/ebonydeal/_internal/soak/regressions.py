"""Seeds that once violated a guarantee, each with its cause; run at every change.

Processes run in real time, so two runs of a seed are similar but never identical. The
test named with a seed reproduces the cause alone and reliably.
"""

REGRESSIONS: dict[int, str] = {
    2: (
        "exposure: all old endpoints crashed amid a roll-out, and a bad version got"
        " all requests, as nobody else could serve them; TestAlone"
    ),
    104: (
        "run once: a stream whose memory had been passed on to an endpoint that"
        " could no longer be reached was sent to a third one from its beginning;"
        " test_a_target_that_cannot_be_reached_starts_no_second_run"
    ),
}
