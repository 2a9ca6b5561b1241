"""Seeds that once broke a promise, each with its cause; played again at every change.

Processes run on the machine's own time, so a seed plays alike but never exactly the
same; the test that is named with it shows the cause alone, each time.
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
