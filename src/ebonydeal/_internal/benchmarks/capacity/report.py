"""Builds the tables of docs/CAPACITY.md from measured slopes."""

from collections.abc import Sequence

from ebonydeal._internal.benchmarks.capacity.fit import Slope
from ebonydeal._internal.benchmarks.capacity.plan import RolePlan
from ebonydeal._internal.benchmarks.capacity.roles import (
    Role,
    Slopes,
    all_roles,
    data_path,
)
from ebonydeal._internal.benchmarks.capacity.size import (
    BYTES_LIMIT,
    CPU_SHARE_LIMIT,
    FULL_SIZE,
    MEMORY_LIMIT_MB,
    Size,
)

BEGIN = "<!-- measured tables: begin -->"
END = "<!-- measured tables: end -->"


def slopes_table(slopes: Sequence[Slope]) -> str:
    """Return a table of all slopes with their measured ranges and fits."""
    lines = [
        "| key | what | slope | per | intercept | r2 | measured at |",
        "|---|---|---|---|---|---|---|",
    ]
    for item in slopes:
        lines.append(
            f"| `{item.key}` | {item.what} | {item.slope:,.2f} | {item.per} "
            f"| {item.intercept:,.1f} | {item.r2:.3f} "
            f"| {item.low:,.0f} to {item.high:,.0f} |"
        )
    return "\n".join(lines)


def _verdict(value: float, limit: float) -> str:
    return "within" if value <= limit else "**over**"


def roles_table(roles: Sequence[Role]) -> str:
    """Return the control overhead of one process of each role, against the limits."""
    lines = [
        "| role | processes | processor, % of a core | memory, MB | bytes/s "
        "| table reads/s, all | table writes/s, all |",
        "|---|---|---|---|---|---|---|",
    ]
    for role in roles:
        cpu = f"{role.cpu_share:.2%} ({_verdict(role.cpu_share, CPU_SHARE_LIMIT)})"
        memory = f"{role.memory_mb:.0f} ({_verdict(role.memory_mb, MEMORY_LIMIT_MB)})"
        size = f"{role.bytes_s:,.0f} ({_verdict(role.bytes_s, BYTES_LIMIT)})"
        reads = role.reads_s * role.processes
        writes = role.writes_s * role.processes
        lines.append(
            f"| {role.name} | {role.processes} | {cpu} | {memory} | {size} "
            f"| {reads:,.1f} | {writes:,.1f} |"
        )
    return "\n".join(lines)


def items_table(role: Role) -> str:
    """Return a table of one role's items."""
    lines = [
        "| state or work | mechanism | bytes/s | processor, us/s | memory, MB |",
        "|---|---|---|---|---|",
    ]
    for item in role.items:
        lines.append(
            f"| {item.what} | {item.mechanism} | {item.bytes_s:,.0f} "
            f"| {item.cpu_us:,.0f} | {item.memory_mb:,.1f} |"
        )
    return "\n".join(lines)


def _size_part(title: str, slopes: Slopes, size: Size, plan: RolePlan) -> list[str]:
    roles = all_roles(slopes, size, plan)
    path = data_path(slopes, size, plan)
    work = (
        f"Serving itself, one gateway at the peak: {path.requests_s:,.1f} requests "
        f"and {path.tokens_s:,.0f} tokens a second take {path.cores:.2f} cores, "
        f"{path.decision_share:.2%} of a core for decisions."
    )
    return [f"### {title}", roles_table(roles), work]


def tables(slopes: Sequence[Slope], plan: RolePlan) -> str:
    """Return all measured tables as one Markdown text."""
    slopes_by_key = Slopes({item.key: item for item in slopes})
    double = plan._replace(
        gateways=plan.gateways * 2,
        journals=plan.journals * 2,
        controllers=plan.controllers * 2,
        consoles=plan.consoles * 2,
        config_poll_s=plan.config_poll_s * 2,
    )
    parts = ["### Slopes", slopes_table(slopes)]
    parts += _size_part("Full size", slopes_by_key, FULL_SIZE, plan)
    for role in all_roles(slopes_by_key, FULL_SIZE, plan):
        parts += [f"#### One {role.name}", items_table(role)]
    parts += _size_part("Twice the size", slopes_by_key, FULL_SIZE.doubled(), double)
    return "\n\n".join([BEGIN, *parts, END])


def replace_tables(page: str, text: str) -> str:
    """Return ``page`` with its tables replaced; ValueError if it has no markers."""
    head, begin, rest = page.partition(BEGIN)
    _old, end, tail = rest.partition(END)
    if not begin or not end:
        raise ValueError("the page has no place for measured tables")
    return head + text + tail
