import pytest
from spec.checker import CheckResult

CHECKED = pytest.StashKey[list[CheckResult]]()


@pytest.fixture
def record_checked(request):
    return request.config.stash.setdefault(CHECKED, []).append


def pytest_terminal_summary(terminalreporter, config):
    checked = config.stash.get(CHECKED, [])
    if not checked:
        return
    terminalreporter.section("model checking")
    for result in checked:
        coverage = "exhaustive" if result.exhaustive else "PARTIAL"
        line = f"{result.name}: {result.states} states explored, {coverage}"
        terminalreporter.write_line(line)
    total = sum(result.states for result in checked)
    terminalreporter.write_line(f"total: {total} states explored")
