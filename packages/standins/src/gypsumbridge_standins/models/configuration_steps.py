"""Steps of the configuration model: operators, the observer and nodes."""

import dataclasses

from gypsumbridge_decisions import configuration
from gypsumbridge_standins.models import bounds as all_bounds
from gypsumbridge_standins.models import configuration_core
from gypsumbridge_standins.models import configuration_operator
from gypsumbridge_standins.models import configuration_reply
from gypsumbridge_standins.models import configuration_rules as all_rules
from gypsumbridge_standins.models import configuration_state as states
from gypsumbridge_standins.models import configuration_time

Steps = list[tuple[str, states.ModelState]]


def next_states(
    rules: all_rules.Rules,
    bounds: all_bounds.Bounds,
    state: states.ModelState,
) -> Steps:
    """Return every step from a state that changes it."""
    proof_lifetime_ms = rules.bounds.proof_lifetime_ms
    steps = [('tick', configuration_time.pass_tick(state, proof_lifetime_ms))]
    for index in range(len(state.operators)):
        steps += operator_steps(rules, state, index)
    steps += observer_steps(state)
    for index in range(len(state.cores)):
        steps += node_steps(rules, bounds, state, index)
    return [(label, after) for label, after in steps if after != state]


def operator_steps(
    rules: all_rules.Rules, state: states.ModelState, index: int
) -> Steps:
    """Return the steps of an operator: write, and observe acceptance."""
    operator = state.operators[index]

    def with_operator(
        step: str, changed: configuration_operator.Operator, stored: int
    ) -> Steps:
        operators = states.replace_at(state.operators, index, changed)
        after = dataclasses.replace(state, operators=operators, stored=stored)
        return [(f'operator {index} {step}', after)]

    if not operator.written:
        if operator.base != state.stored:
            changed = dataclasses.replace(operator, base=state.stored)
            return with_operator('has a conflict', changed, state.stored)
        revision = state.stored + 1
        changed = dataclasses.replace(operator, written=revision)
        return with_operator('writes', changed, revision)
    if operator.accepted_ms is not None:
        return []
    observer = state.observer
    holding = configuration.holding_domains(observer, operator.written, 0)
    if not rules.is_accepted(observer, holding):
        return []
    accepted = dataclasses.replace(operator, accepted_ms=0)
    steps = with_operator('observes acceptance', accepted, state.stored)
    if all(o.accepted_ms is not None for o in steps[0][1].operators):
        # The observer's votes have no further effect; clearing them reduces
        # the number of states.
        cleared = dataclasses.replace(observer, votes=())
        steps = [
            (steps[0][0], dataclasses.replace(steps[0][1], observer=cleared))
        ]
    return steps


def observer_steps(state: states.ModelState) -> Steps:
    """Return the steps in which the operators' node receives reports."""
    steps: Steps = []
    if all(o.accepted_ms is not None for o in state.operators):
        return steps
    for core in state.cores:
        observer = configuration_core.record_report(state.observer, core)
        after = dataclasses.replace(state, observer=observer)
        steps.append(
            (f'the observer gets the report of {core.failure_domain}', after)
        )
    return steps


def node_steps(
    rules: all_rules.Rules,
    bounds: all_bounds.Bounds,
    state: states.ModelState,
    index: int,
) -> Steps:
    """Return the steps of a node."""
    steps: Steps = []
    name = state.cores[index].failure_domain
    replies = {}
    if index in bounds.readers:
        replies['the store'] = configuration_reply.Reply(
            0, state.stored, 0, None
        )
    for other, core in enumerate(state.cores):
        if other != index:
            replies[core.failure_domain] = configuration_core.make_reply(core)
    for source, reply in replies.items():
        received = receive(rules, state, index, reply)
        steps.append((f'{name} polls {source}', received))
        if index not in bounds.delayed or state.replies[index]:
            continue
        delayed_replies = states.replace_at(state.replies, index, reply)
        after = dataclasses.replace(state, replies=delayed_replies)
        steps.append((f'{name} polls {source}, reply is late', after))
    delayed_reply = state.replies[index]
    if delayed_reply is not None:
        remaining_replies = states.replace_at(state.replies, index, None)
        after = dataclasses.replace(state, replies=remaining_replies)
        after = receive(rules, after, index, delayed_reply)
        steps.append((f'{name} gets its late reply', after))
    if rules.timer_only:
        may_serve = rules.may_accept_work(state.cores[index], 0)
        served = states.replace_at(state.served, index, may_serve)
        after = dataclasses.replace(state, served=served)
        steps.append((f'timer of {name}', after))
    if index in bounds.restarting and not state.restarted[index]:
        steps.append((f'{name} restarts', restart(rules, state, index)))
    return steps


def receive(
    rules: all_rules.Rules,
    state: states.ModelState,
    index: int,
    reply: configuration_reply.Reply,
) -> states.ModelState:
    """Apply a reply at a node."""
    previous = state.cores[index]
    core = configuration_core.receive(rules, previous, reply)
    if core is previous:
        return state
    return dataclasses.replace(
        state,
        cores=states.replace_at(state.cores, index, core),
        reverted=state.reverted or core.revision < previous.revision,
    )


def restart(
    rules: all_rules.Rules, state: states.ModelState, index: int
) -> states.ModelState:
    """Restart a node without any state."""
    previous = state.cores[index]
    restarted_core = configuration.Core(
        previous.failure_domain,
        previous.failure_domains,
        0,
        rules.restart_bounds,
    )
    return dataclasses.replace(
        state,
        cores=states.replace_at(state.cores, index, restarted_core),
        replies=states.replace_at(state.replies, index, None),
        served=states.replace_at(state.served, index, False),
        restarted=states.replace_at(state.restarted, index, True),
    )
