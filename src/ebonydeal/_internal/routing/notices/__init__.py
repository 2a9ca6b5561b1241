"""What endpoints say of themselves in their answers, and what follows for sends.

Event: an answer that says it, or says it no more. Called with each answer, by relays
that tell each other, and before each send; touches its own memory only.
"""
