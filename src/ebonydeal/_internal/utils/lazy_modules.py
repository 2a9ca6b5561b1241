"""Library modules that are loaded on the first call of one of their functions."""

import sys
from collections.abc import Callable, Mapping, Sequence
from importlib import import_module
from types import ModuleType
from typing import Any


def register_lazy_modules(modules: Mapping[str, Sequence[str]]) -> None:
    """Register a placeholder with the named functions for each module.

    Only for modules that are imported for rarely called functions: nothing else of a
    module is available until one of these is called.
    """
    for name, functions in modules.items():
        if name in sys.modules:
            continue
        placeholder = ModuleType(name)
        for function in functions:
            setattr(placeholder, function, _lazy_function(placeholder, function))
        sys.modules[name] = placeholder


def _lazy_function(placeholder: ModuleType, function: str) -> Callable[..., Any]:
    """Return a function that loads the module and calls its ``function``."""

    def call(*args: Any, **kwargs: Any) -> Any:
        name = placeholder.__name__
        if sys.modules.get(name) is placeholder:
            del sys.modules[name]
        return getattr(import_module(name), function)(*args, **kwargs)

    return call
