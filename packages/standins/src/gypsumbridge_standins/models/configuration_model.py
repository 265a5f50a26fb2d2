"""Model of the configuration protocol with three failure domains.

The search explores every order of steps, and any step may be absent; an
absent step models a network cut, a pause or a store outage.
"""

from collections.abc import Callable
import dataclasses

import minicheck

from gypsumbridge_decisions import configuration
from gypsumbridge_standins.models import bounds as all_bounds
from gypsumbridge_standins.models import check
from gypsumbridge_standins.models import configuration_core
from gypsumbridge_standins.models import configuration_operator
from gypsumbridge_standins.models import configuration_rules as all_rules
from gypsumbridge_standins.models import configuration_state as states
from gypsumbridge_standins.models import configuration_steps


def make_checks(bounds: all_bounds.Bounds) -> list[check.Check]:
    """Return the checks of the model and of its mutants."""
    result = [make_check('configuration', all_rules.Rules(), bounds, '')]
    # Two failure domains are enough for two writes to be concurrent.
    two_domains = dataclasses.replace(
        bounds, failure_domains=('a', 'b'), writes=2, restarting=()
    )
    label = 'configuration, two operators'
    result.append(make_check(label, all_rules.Rules(), two_domains, ''))
    for name, (rules, violated) in all_rules.make_mutants().items():
        label = f'configuration, mutant {name}'
        result.append(make_check(label, rules, bounds, violated))
    return result


def make_check(
    name: str,
    rules: all_rules.Rules,
    bounds: all_bounds.Bounds,
    violated: str,
) -> check.Check:
    """Return one check; `violated` is empty if the model must hold."""
    return check.Check(
        name,
        lambda: make_protocol(name, rules, bounds, violated),
        bounds.max_states,
        violated,
    )


def make_protocol(
    name: str,
    rules: all_rules.Rules,
    bounds: all_bounds.Bounds,
    violated: str,
) -> minicheck.Protocol:
    """Return the protocol for the checker; its state has one field.

    The search of a mutant ends at the first state that violates the
    invariant `violated`.
    """
    domains = bounds.failure_domains
    cores = tuple(
        configuration_core.normalize_core(
            configuration.Core(d, domains, -9, rules.bounds, recovered=True)
        )
        for d in domains
    )
    none = (False,) * len(domains)
    initial = states.ModelState(
        cores=cores,
        observer=cores[0],
        replies=(None,) * len(domains),
        operators=(configuration_operator.Operator(),) * bounds.writes,
        restarted=none,
        served=none,
    )

    invariants = make_invariants(rules)
    violating_states: list[states.ModelState] = []

    def transitions(fields: tuple) -> list[tuple[str, tuple]]:
        if violated and not invariants[violated]({'state': fields[0]}):
            violating_states.append(fields[0])
        if violating_states:
            return []
        result = configuration_steps.next_states(rules, bounds, fields[0])
        return [(label, (state,)) for label, state in result]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=('state',),
        initial=(initial,),
        transitions=transitions,
        invariants=invariants,
    )


def make_invariants(
    rules: all_rules.Rules,
) -> dict[str, Callable[[dict], bool]]:
    """Return the invariants by name."""

    def no_stale_service(view: dict) -> bool:
        return not serves_stale(rules, view['state'])

    def no_revert(view: dict) -> bool:
        return not view['state'].reverted

    def writes_are_distinct(view: dict) -> bool:
        written = [o.written for o in view['state'].operators if o.written]
        return len(set(written)) == len(written)

    return {
        'no_stale_service': no_stale_service,
        'no_revert': no_revert,
        'writes_are_distinct': writes_are_distinct,
    }


def serves_stale(rules: all_rules.Rules, state: states.ModelState) -> bool:
    """Return whether a node serves an outdated revision.

    A newer one must have been accepted `proof_lifetime_ms` ago.
    """
    for index, core in enumerate(state.cores):
        if not serves(rules, state, index):
            continue
        for operator in state.operators:
            if operator.accepted_ms is None:
                continue
            is_overdue = (
                operator.accepted_ms <= -rules.bounds.proof_lifetime_ms
            )
            if is_overdue and core.revision < operator.written:
                return True
    return False


def serves(
    rules: all_rules.Rules, state: states.ModelState, index: int
) -> bool:
    """Return whether a node accepts new work now."""
    if rules.timer_only:
        return state.served[index]
    return rules.may_accept_work(state.cores[index], 0)
