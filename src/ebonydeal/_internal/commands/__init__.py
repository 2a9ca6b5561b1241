"""Commands of the ``ebonydeal`` program, one per module."""
