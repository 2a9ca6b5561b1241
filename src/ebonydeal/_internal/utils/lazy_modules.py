"""Modules of libraries that are loaded when one of their functions is called."""

import sys
from collections.abc import Callable, Mapping, Sequence
from importlib import import_module
from types import ModuleType
from typing import Any


def register_lazy_modules(modules: Mapping[str, Sequence[str]]) -> None:
    """Put a stand-in for each module, with the functions named.

    Only for modules that are imported for functions which are seldom called: what
    else they hold isn't there until then.
    """
    for name, functions in modules.items():
        if name in sys.modules:
            continue
        stand_in = ModuleType(name)
        for function in functions:
            setattr(stand_in, function, _late(stand_in, function))
        sys.modules[name] = stand_in


def _late(stand_in: ModuleType, function: str) -> Callable[..., Any]:
    """Return a function that loads the module it is of, and calls its own there."""

    def call(*args: Any, **kwargs: Any) -> Any:
        name = stand_in.__name__
        if sys.modules.get(name) is stand_in:
            del sys.modules[name]
        return getattr(import_module(name), function)(*args, **kwargs)

    return call
