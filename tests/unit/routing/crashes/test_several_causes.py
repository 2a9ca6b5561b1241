"""A request that crashes endpoints is found though others crash them, too.

Another one was in quarantine, but a relay that had just started still sent it. So most
crashes of the one that came later were attributed to the first one, and to a request
that was often in flight beside it.
"""

from ebonydeal._internal.routing.crashes.crash_attribution import (
    Crash,
    CrashAttributor,
    CrashKey,
)

THRESHOLD = 3
# Requests in flight in each crash, as seen by four relays in three seconds. The first
# one crashes endpoints e18 to e22, the second one all that follow.
FIRST, SECOND, BESIDE = "first", "second", "beside"
CRASHES = {
    "e18": {FIRST, BESIDE},
    "e19": {FIRST, BESIDE},
    "e20": {FIRST},
    "e21": {FIRST},
    "e22": {FIRST},
    "e24": {SECOND, BESIDE},
    "e26": {FIRST, SECOND, BESIDE},
    "e28": {SECOND, BESIDE},
    "e29": {SECOND, BESIDE},
    "e31": {FIRST, SECOND},
    "e32": {FIRST, SECOND},
}


class TestTwoCauses:
    def test_the_later_one_is_found_by_its_sixth_crash(self):
        crashes = {}
        for number, (endpoint, digests) in enumerate(CRASHES.items()):
            crash = Crash("z1", 100.0 + number)
            crash.add(digests)
            crashes[CrashKey(endpoint, 0)] = crash
        found = CrashAttributor(crashes, {}, THRESHOLD).attribute()
        assert SECOND in found.quarantined
