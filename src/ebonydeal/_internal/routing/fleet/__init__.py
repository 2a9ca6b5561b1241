"""Plans how many endpoints of which kind are ordered in each zone.

It has to cope with traffic that grows and falls, and with zones that are reclaimed in
bursts. The coordinator calls it once per period. No I/O.
"""
