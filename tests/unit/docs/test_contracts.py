import importlib
import re
from inspect import getsource

import pytest

from tests.lib.pages import ROOT

PACKAGE = "ebonydeal._internal"
ROW = re.compile(r"^\| (`.+?) \| (`.+?) \|", re.M)
ROWS = ROW.findall((ROOT / "docs/CONTRACTS.md").read_text(encoding="utf-8"))


def modules(where):
    """Return the module names that a cell of the table names."""
    found = []
    for path in re.findall(r"`([\w/]+(?:\.py)?/?)`", where):
        dotted = path.removesuffix(".py").strip("/").replace("/", ".")
        folder = ROOT / "src/ebonydeal/_internal" / path
        if folder.is_dir():
            found += [f"{dotted}.{file.stem}" for file in sorted(folder.glob("*.py"))]
        else:
            found.append(dotted)
    return found


class TestContracts:
    def test_table_is_read(self):
        assert len(ROWS) > 15

    @pytest.mark.parametrize(("names", "where"), ROWS)
    def test_each_name_is_where_it_is_said_to_be(self, names, where):
        there = [importlib.import_module(f"{PACKAGE}.{one}") for one in modules(where)]
        for one in re.findall(r"`([\w.]+)`", names):
            head, *rest = one.split(".")
            owners = [getattr(mod, head) for mod in there if hasattr(mod, head)]
            assert owners, one
            for attribute in rest:
                text = getsource(importlib.import_module(owners[0].__module__))
                assert hasattr(owners[0], attribute) or f"self.{attribute}" in text
