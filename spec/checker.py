"""Interface to the explicit-state model checker."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol, check_liveness, check_safety

Step = tuple[str, Any]
Predicate = Callable[[Any], bool]

MAX_STATES = 400_000


class Specification(NamedTuple):
    """A transition system with its properties.

    Attributes
    ----------
    initial : NamedTuple
        The initial state; all states have its class.
    transitions : callable
        Maps a state to its (label, next state) pairs.
    invariants : dict
        Predicates that hold in every reachable state.
    reachable : dict
        Predicates that hold in some reachable state. They show that the
        invariants don't hold merely because the model does nothing.
    """

    name: str
    initial: Any
    transitions: Callable[[Any], Iterator[Step]]
    invariants: dict[str, Predicate]
    reachable: dict[str, Predicate]


class CheckResult(NamedTuple):
    """Result of one exploration.

    ``violated`` maps an invariant to the labels of a shortest counterexample;
    ``reached`` maps a reachable predicate to those of a shortest witness;
    ``states`` counts distinct states; some are missing unless ``exhaustive``.
    """

    name: str
    states: int
    exhaustive: bool
    violated: dict[str, tuple[str, ...]]
    reached: dict[str, tuple[str, ...]]

    @property
    def shortest(self) -> int:
        """Number of steps of the shortest counterexample; 0 if there is none."""
        return min((len(trace) for trace in self.violated.values()), default=0)


class _TypedStates(Protocol):
    """A protocol whose predicates get the state itself instead of a dict."""

    def d(self, s: Any) -> Any:
        """Return the state in the form that predicates take."""
        return s


def check(spec: Specification, max_states: int = MAX_STATES) -> CheckResult:
    """Explore every reachable state of ``spec``, up to ``max_states``."""
    return _explore(spec, max_states, lambda: False)


def refute(spec: Specification, max_states: int = MAX_STATES) -> CheckResult:
    """Explore until an invariant fails, which gives a shortest counterexample."""
    failed: list[str] = []

    def watched(name: str, holds: Predicate) -> Predicate:
        def predicate(state: Any) -> bool:
            held = holds(state)
            if not held:
                failed.append(name)
            return held

        return predicate

    watching = {name: watched(name, holds) for name, holds in spec.invariants.items()}
    return _explore(
        spec._replace(invariants=watching, reachable={}),
        max_states,
        lambda: bool(failed),
    )


def always_can_reach(spec: Specification, goal: Predicate) -> bool:
    """Return whether ``goal`` can be reached from every reachable state.

    Raises
    ------
    RuntimeError
        If the state space was not explored completely.
    """
    model = _TypedStates(
        name=spec.name,
        candidate=False,
        fields=type(spec.initial)._fields,
        initial=spec.initial,
        transitions=lambda state: list(spec.transitions(state)),
        invariants={},
        goal=goal,
    )
    holds = check_liveness(model)["holds"]
    if holds is None:
        raise RuntimeError(f"{spec.name} was not explored completely")
    return bool(holds)


def _explore(
    spec: Specification, max_states: int, stopped: Callable[[], bool]
) -> CheckResult:
    properties = {f"always {name}": holds for name, holds in spec.invariants.items()}
    properties |= {
        f"never {name}": _negated(holds) for name, holds in spec.reachable.items()
    }
    model = _TypedStates(
        name=spec.name,
        candidate=False,
        fields=type(spec.initial)._fields,
        initial=spec.initial,
        transitions=lambda state: () if stopped() else spec.transitions(state),
        invariants=properties,
    )
    verdict = check_safety(model, max_states=max_states)
    traces = {
        name: tuple(step["label"] for step in found["counterexample"][1:])
        for name, found in verdict["properties"].items()
        if found["holds"] is False
    }
    return CheckResult(
        spec.name,
        verdict["reachable_states"],
        verdict["exhaustive"] and not stopped(),
        _with_prefix(traces, "always "),
        _with_prefix(traces, "never "),
    )


def _negated(holds: Predicate) -> Predicate:
    return lambda state: not holds(state)


def _with_prefix(
    traces: dict[str, tuple[str, ...]], prefix: str
) -> dict[str, tuple[str, ...]]:
    return {
        name.removeprefix(prefix): trace
        for name, trace in traces.items()
        if name.startswith(prefix)
    }
