"""Model of the holder of one partition, with two nodes.

It covers takeovers, kills, restarts, late reads and writes, pauses and cuts of
any length, and a store that comes back from an older copy.
"""

from collections.abc import Callable
import dataclasses

import minicheck

from gypsumbridge_decisions import quotas
from gypsumbridge_standins.models import check
from gypsumbridge_standins.models import holder_bounds
from gypsumbridge_standins.models import holder_mutants
from gypsumbridge_standins.models import holder_node
from gypsumbridge_standins.models import holder_steps
from gypsumbridge_standins.models import holder_transitions
from gypsumbridge_standins.models import holder_world

ONE_HOLDER = 'one_holder'
MAX_STATES = 400_000
# Needs a store that comes back while an answer is on its way.
RESTORED = holder_bounds.HolderBounds(takeovers=1, kills=0, restores=1)
# The store comes back from a copy from before its first entries.
LOST = holder_bounds.HolderBounds(
    kills=0, late=0, restores=1, first_start=True
)
MUTANT_BOUNDS = {
    'renews its proof without an entry': LOST,
    'begins with a proof from before the wait ended': RESTORED,
    'goes on in a new era without a right': RESTORED,
}


def make_checks(few: bool = False) -> list[check.Check]:
    """Return the checks of the model and of its mutants.

    With `few`, a search of the program's steps has one kind of fault only.
    """
    bounds = holder_bounds.HolderBounds
    program = holder_steps.HolderSteps()
    cases = {
        'takeovers': bounds(),
        'late answer and restored store': RESTORED,
        'restart and restored store': bounds(late=0, restores=1),
        'first start': bounds(first_start=True),
        'lost first entries': dataclasses.replace(LOST, takeovers=3),
    }
    if few:
        cases = {
            'late answer': bounds(takeovers=1, kills=0),
            'restart': bounds(late=0),
            'restored store': bounds(takeovers=1, late=0, restores=1),
            'first start': bounds(late=0, first_start=True),
            'lost first entries': LOST,
        }
    result = [
        make_check(f'quota holder, {name}', program, case, '')
        for name, case in cases.items()
    ]
    for name, steps in holder_mutants.make_mutants().items():
        case = MUTANT_BOUNDS.get(name, bounds())
        label = f'quota holder, mutant {name}'
        result.append(make_check(label, steps, case, ONE_HOLDER))
    return result


def make_check(
    name: str,
    steps: holder_steps.HolderSteps,
    bounds: holder_bounds.HolderBounds,
    violated: str,
) -> check.Check:
    """Return one check; `violated` is empty if the model must hold."""
    return check.Check(
        name,
        lambda: make_protocol(name, steps, bounds, violated),
        MAX_STATES,
        violated,
    )


def make_protocol(
    name: str,
    steps: holder_steps.HolderSteps,
    bounds: holder_bounds.HolderBounds,
    violated: str,
) -> minicheck.Protocol:
    """Return the protocol; a mutant's search ends at the first violation."""
    entry = quotas.HolderRecord(0, '', 0, 0)
    if not bounds.first_start:
        entry = quotas.HolderRecord(0, holder_transitions.node_id(0), 2, 1)
    node = holder_node.HolderNode()
    initial = holder_world.HolderWorld(entry, (node, node), bounds)
    if bounds.first_start:
        # A process that starts after a restore would take it for the start.
        for number in range(len(initial.nodes)):
            initial = holder_transitions.apply_read(
                initial, number, entry, 0, steps
            )
    invariants = make_invariants(steps)
    stopped = [False]

    def transitions(fields: tuple) -> list[tuple[str, tuple]]:
        if violated and not invariants[violated]({'world': fields[0]}):
            stopped[0] = True
        if stopped[0]:
            return []
        found = holder_transitions.all_transitions(fields[0], steps)
        return [(label, (after,)) for label, after in found]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=('world',),
        initial=(initial,),
        transitions=transitions,
        invariants=invariants,
    )


def make_invariants(
    steps: holder_steps.HolderSteps,
) -> dict[str, Callable[[dict], bool]]:
    """Return the invariants by name."""

    def one_holder(view: dict) -> bool:
        entitled = [
            steps.may_grant(node.holding, holder_transitions.TTL_MS, 0)
            for node in view['world'].nodes
        ]
        return sum(entitled) <= 1

    def full_only_first(view: dict) -> bool:
        return not view['world'].full_late

    return {ONE_HOLDER: one_holder, 'full_only_first': full_only_first}
