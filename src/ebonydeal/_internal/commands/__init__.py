"""Commands of the ``ebonydeal`` program, one a module."""
