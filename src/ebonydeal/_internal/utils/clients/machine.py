"""Memory and descriptors of the machine that a process runs on."""

import os
import resource

from ebonydeal._internal.settings.sections import NodeSettings
from ebonydeal._internal.utils.clients.budget import BudgetConfig

_BYTES_PER_MB = 1_000_000


def client_budget_config(cfg: NodeSettings) -> BudgetConfig:
    """Return the limits of all client connections, from settings or the machine."""
    memory_mb = cfg.memory_mb or _physical_mb()
    return BudgetConfig.of_machine(memory_mb, cfg.max_descriptors or _descriptors())


def _physical_mb() -> float:
    pages = os.sysconf("SC_PHYS_PAGES")
    return pages * os.sysconf("SC_PAGE_SIZE") / _BYTES_PER_MB


def _descriptors() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
