"""The core protocols as small transition systems, checked exhaustively.

Each module has one protocol: a `Guards` tuple of rules (all on by default), a
`State` tuple and `specification(guards)`. For each guard, a test turns it off and
expects a counterexample, which shows that the rule is needed.
"""
