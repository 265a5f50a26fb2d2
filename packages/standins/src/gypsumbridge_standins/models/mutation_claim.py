"""Model check of the claim protocol of mutations.

The model has two nodes and one key. It covers repeats through the other
node, lost and delayed writes, store outages, pauses longer than every
timeout, kills before and after the mutation is sent, resolution by
operators, and the removal of expired claims.
"""

from collections.abc import Callable
import functools

import minicheck

from gypsumbridge_standins.models import claim_mutants
from gypsumbridge_standins.models import claim_node
from gypsumbridge_standins.models import claim_request
from gypsumbridge_standins.models import claim_steps
from gypsumbridge_standins.models import claim_store
from gypsumbridge_standins.models import claim_world

MAX_STATES = 400_000
# Losses, outages, kills and the key's expiry count as faults; pauses do not.
MAX_FAULTS = 1
NOT_RUN = 'not_run'
CONFLICT = 'conflict'


def ran_despite_answer(world: claim_world.ClaimWorld, answer: str) -> bool:
    """Return whether a request with this answer has run."""
    return any(r.answer == answer and r.executed for r in world.requests)


RULES: dict[str, Callable[[claim_world.ClaimWorld], bool]] = {
    'a key runs at most once': lambda w: w.executed() <= 1,
    'not_run never runs': lambda w: not ran_despite_answer(w, NOT_RUN),
    'a conflict never runs': lambda w: not ran_despite_answer(w, CONFLICT),
    'nothing wrong is said or sent': lambda w: not w.violation,
}


def make_protocol(
    world: claim_world.ClaimWorld,
    steps: claim_steps.ClaimSteps,
    stop_early: bool,
) -> minicheck.Protocol:
    """Return the model that starts in a given state.

    With `stop_early` no state is expanded after the first violation.
    """
    stopped = [False]

    def transitions(state: tuple[claim_world.ClaimWorld]) -> list:
        (current,) = state
        if stop_early and not all(holds(current) for holds in RULES.values()):
            stopped[0] = True
        if stopped[0]:
            return []
        next_states = [
            (label, (after,))
            for label, after in claim_store.operator_transitions(current)
        ]
        for number in range(len(current.requests)):
            for label, after in (
                *claim_node.node_transitions(current, number, steps),
                *claim_store.store_transitions(current, number),
                *claim_store.owner_transitions(current, number),
            ):
                next_states.append((f'request {number}: {label}', (after,)))
        return next_states

    return minicheck.Protocol(
        name='mutation claim',
        candidate=False,
        fields=('world',),
        initial=(world,),
        transitions=transitions,
        invariants={
            name: lambda d, holds=holds: holds(d['world'])
            for name, holds in RULES.items()
        },
    )


def make_scenarios(
    faults: int = MAX_FAULTS,
) -> dict[str, claim_world.ClaimWorld]:
    """Return the initial states by the requests that callers send."""
    request = functools.partial(claim_request.ClaimRequest, fingerprint='f')
    repeat = request(nonce='b', first_attempt=False)
    other_request = claim_request.ClaimRequest('b', 'g', False)
    return {
        'first attempt and repeat': claim_world.ClaimWorld(
            (request(nonce='a', first_attempt=True), repeat), faults=faults
        ),
        'two at once': claim_world.ClaimWorld(
            (request(nonce='a', first_attempt=False), repeat), faults=faults
        ),
        'another request with the key': claim_world.ClaimWorld(
            (request(nonce='a', first_attempt=False), other_request),
            faults=faults,
        ),
    }


def check() -> bool:
    """Print the result of every scenario and mutant.

    Returns whether all rules hold and all mutants are rejected.
    """
    passed = True
    scenarios = make_scenarios()
    for name, world in scenarios.items():
        result = run(world, claim_steps.ClaimSteps())
        print(f'mutation claim, {name}: {result["reachable_states"]} states')
        for invariant, outcome in result['properties'].items():
            if outcome['holds']:
                continue
            passed = False
            print(f'  fails: {invariant} ({outcome.get("reason", "")})')
            print_trace(outcome)
    for name, steps in claim_mutants.make_mutants().items():
        rejected = reject(name, steps, scenarios)
        passed = passed and rejected
    return passed


def reject(
    name: str,
    steps: claim_steps.ClaimSteps,
    scenarios: dict[str, claim_world.ClaimWorld],
) -> bool:
    """Print the first trace that rejects a mutant; return if there is one."""
    for scenario, world in scenarios.items():
        result = run(world, steps, stop_early=True)
        for invariant, outcome in result['properties'].items():
            if outcome['holds'] is False:
                print(
                    f'mutant "{name}" rejected by {scenario}: {invariant},'
                    f' {result["reachable_states"]} states'
                )
                print_trace(outcome)
                return True
    print(f'mutant "{name}" passes')
    return False


def run(
    world: claim_world.ClaimWorld,
    steps: claim_steps.ClaimSteps,
    stop_early: bool = False,
) -> dict:
    """Search all reachable states of a model."""
    protocol = make_protocol(world, steps, stop_early)
    return minicheck.check_safety(protocol, MAX_STATES)


def print_trace(outcome: dict) -> None:
    """Print the steps of a counterexample."""
    for step in (outcome.get('counterexample') or [])[1:]:
        print(f'    {step["label"]}')
