"""Rounds that measure the journal, in one process against stores in memory."""
