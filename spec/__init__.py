"""The core protocols as small transition systems, checked exhaustively.

Each module has one protocol: a `Guards` tuple of rules (all on by default), a
`State` tuple and `specification(guards)`. A test turns one guard off and expects
a counterexample, so that no rule stands here without need.
"""
