"""Duties of one relay for all: its lease, the report interval, the sums of usage.

Event: a lease holder that crashes, is suspended or is partitioned; usage windows that
end. Called by the coordinator; works on its own state only.
"""
