"""Modelled roll-outs through the real decision: exposure, wrong verdicts, lateness."""
