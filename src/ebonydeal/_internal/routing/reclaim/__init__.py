"""Plans how running streams continue when their endpoints are reclaimed.

The gateway calls it on a notice that an endpoint or a zone is leaving. No I/O.
"""
