import sys

import pytest

from ebonydeal._internal.utils.lazy_modules import register_lazy_modules


@pytest.fixture
def module(tmp_path, monkeypatch):
    """Name of a module that is not loaded."""
    (tmp_path / "seldom_used.py").write_text("def twice(n):\n    return 2 * n\n")
    monkeypatch.syspath_prepend(tmp_path)
    yield "seldom_used"
    sys.modules.pop("seldom_used", None)


class TestRegisterLazyModules:
    def test_module_is_loaded_on_the_first_call(self, module):
        register_lazy_modules({module: ("twice",)})
        from seldom_used import twice

        assert not hasattr(sys.modules[module], "__file__")
        assert twice(4) == 8
        assert hasattr(sys.modules[module], "__file__")

    def test_function_works_on_repeated_calls(self, module):
        register_lazy_modules({module: ("twice",)})
        from seldom_used import twice

        assert [twice(1), twice(2), twice(3)] == [2, 4, 6]

    def test_module_that_is_already_loaded_is_kept(self, module):
        __import__(module)
        loaded = sys.modules[module]
        register_lazy_modules({module: ("twice",)})
        assert sys.modules[module] is loaded
