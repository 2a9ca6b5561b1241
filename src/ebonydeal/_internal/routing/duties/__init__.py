"""What one relay does for all: its lease, the pace of reports, the sums of usage.

Event: a lease holder that dies, is suspended or is partitioned; usage windows that end.
Called by the coordinator; works on its own state only.
"""
