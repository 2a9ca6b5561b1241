"""What endpoints announce about themselves in answers, and what it means for sends.

Event: an answer that announces something, or no longer does. Called for each answer, by
relays that report to each other, and before each send; works on its own memory only.
"""
