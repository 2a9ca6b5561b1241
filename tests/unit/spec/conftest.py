import pytest
from spec.checker import Checked

CHECKED = pytest.StashKey[list[Checked]]()


@pytest.fixture
def record_checked(request):
    return request.config.stash.setdefault(CHECKED, []).append


def pytest_terminal_summary(terminalreporter, config):
    checked = config.stash.get(CHECKED, [])
    if not checked:
        return
    terminalreporter.section("model checking")
    for one in checked:
        sweep = "exhaustive" if one.exhaustive else "PARTIAL"
        line = f"{one.name}: {one.states} states explored, {sweep}"
        terminalreporter.write_line(line)
    total = sum(one.states for one in checked)
    terminalreporter.write_line(f"total: {total} states explored")
