"""Simulated roll-outs with the real decisions: exposure, wrong and late verdicts."""
