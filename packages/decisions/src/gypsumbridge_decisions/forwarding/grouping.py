"""Gathers of which some parts are gathered in other failure domains.

Traffic between failure domains is billed. The parts of services that have no
searcher in this node's failure domain are merged where their searchers are,
so that only the greatest records and the signatures cross the border.
"""

import collections

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import answer_timing
from gypsumbridge_decisions.forwarding import attempt_ended
from gypsumbridge_decisions.forwarding import attempt_outcome
from gypsumbridge_decisions.forwarding import caller_response
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import delegation as delegations
from gypsumbridge_decisions.forwarding import delegation_sending
from gypsumbridge_decisions.forwarding import ending
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import placement
from gypsumbridge_decisions.forwarding import sending
from gypsumbridge_decisions.forwarding import service_group
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.relaying import peer_node
from gypsumbridge_decisions.routing import rendezvous

# A smaller group saves less traffic than its own request and response take.
MIN_GROUP_SERVICES = 3
# A group is answered this much later than attempts sent directly. It is used
# for routes of whose objective this is at most `MAX_OVERHEAD_SHARE`.
OVERHEAD_MS = 8
MAX_OVERHEAD_SHARE = 0.1
NOT_GATHERED = 'not_gathered'


def plan_groups(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    now_ms: int,
) -> list[service_group.ServiceGroup]:
    """Return the groups that other nodes gather; the rest is sent directly.

    The failure domain that covers most of the services comes first. Ties
    are decided by the request's id, which spreads the load.
    """
    route = exchange.route
    if route.gather is None or exchange.partial:
        return []
    if route.objective_ms * MAX_OVERHEAD_SHARE < OVERHEAD_MS:
        return []
    coordinators = remote_coordinators(state, exchange, now_ms)
    if not coordinators:
        return []
    domains_by_service = remote_domains(state, exchange, now_ms)
    request_id = exchange.request.request_id
    groups: list[service_group.ServiceGroup] = []
    while True:
        covered = collections.Counter(
            domain
            for domains in domains_by_service.values()
            for domain in domains & coordinators.keys()
        )
        if not covered:
            return groups
        best = max(
            covered,
            key=lambda name: (
                covered[name],
                rendezvous.weight(name, request_id),
            ),
        )
        if covered[best] < MIN_GROUP_SERVICES:
            return groups
        services = tuple(
            name
            for name, domains in domains_by_service.items()
            if best in domains
        )
        groups.append(service_group.ServiceGroup(coordinators[best], services))
        for name in services:
            del domains_by_service[name]


def remote_coordinators(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    now_ms: int,
) -> dict[str, peer_node.PeerNode]:
    """Return a usable coordinator in each of the other failure domains."""
    plan = state.coordination.plan_for(exchange.parts[0].service)
    domains = {node.failure_domain for node in (*plan.nearby, *plan.remote)}
    domains.discard(state.policy.failure_domain)
    found = {}
    for domain in domains:
        chosen = delegation_sending.choose_least_busy(
            state, plan.coordinators_in(domain), now_ms
        )
        if chosen is not None:
            found[domain] = chosen
    return found


def remote_domains(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    now_ms: int,
) -> dict[str, frozenset[str]]:
    """Return the failure domains of each service without a nearby searcher.

    Only those in which the request may run are returned; their coordinators
    may therefore be sent the request as well.
    """
    found: dict[str, frozenset[str]] = {}
    for part in exchange.parts:
        domains = frozenset(
            searcher.failure_domain
            for searcher in state.searchers.get(part.service, ())
            if placement.may_be_sent(
                searcher,
                state.health[searcher.searcher_id],
                exchange.domains,
                now_ms,
            )
        )
        if domains and state.policy.failure_domain not in domains:
            found[part.service] = domains
    return found


def send_groups(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    now_ms: int,
) -> list[command.Command]:
    """Delegate groups of parts; the parts of no group are left alone."""
    commands: list[command.Command] = []
    for group in plan_groups(state, exchange, now_ms):
        delegation = delegations.Delegation(
            exchange.request,
            exchange.route,
            exchange.version,
            group.coordinator.node_id,
            exchange.expires_ms,
            group.services,
        )
        own_ms = answer_timing.own_delay_ms(state, exchange.route)
        commands += delegation_sending.send_delegation(
            state, delegation, group.coordinator, own_ms, now_ms
        )
        exchange.groups.add(state.last_delegation_id)
        commands.append(messages.Count('forwarding.groups'))
        for service in group.services:
            part = exchange.part(service)
            part.delegated = True
            part.runs += 1
            exchange.open_services.add(service)
    return commands


def merge_group(
    state: states.ForwardingState,
    found: delegations.Delegation,
    response: caller_response.CallerResponse,
    now_ms: int,
) -> list[command.Command]:
    """Add the parts that a coordinator has gathered to their request."""
    exchange = state.exchanges.get(found.request.call_id)
    if exchange is None or exchange.merged_records is None:
        return []
    if set(response.part_services) <= set(found.services):
        exchange.merged_records.add(response.body)
        for service, signature in zip(
            response.part_services, response.part_signatures, strict=False
        ):
            part = exchange.part(service)
            if part.answer is not None:
                continue
            answer = attempt_ended.AttemptEnded(
                0,
                attempt_outcome.AttemptOutcome.ANSWERED,
                response.status,
                signature=signature,
            )
            exchange.set_answer(part, answer)
    return drop_group(state, found, now_ms)


def drop_group(
    state: states.ForwardingState,
    found: delegations.Delegation,
    now_ms: int,
) -> list[command.Command]:
    """Leave out the parts of a group that have no answer."""
    exchange = state.exchanges.get(found.request.call_id)
    if exchange is None:
        return []
    close_group(exchange, found)
    return ending.finish_if_complete(state, exchange, now_ms)


def send_directly(
    state: states.ForwardingState,
    found: delegations.Delegation,
    now_ms: int,
) -> list[command.Command]:
    """Send the parts of a group that is not gathered to searchers."""
    exchange = state.exchanges.get(found.request.call_id)
    if exchange is None:
        return []
    close_group(exchange, found)
    commands: list[command.Command] = []
    for service in found.services:
        part = exchange.part(service)
        part.runs -= 1
        commands += sending.send_first_attempt(state, exchange, part, now_ms)
    return commands + ending.finish_if_complete(state, exchange, now_ms)


def close_group(
    exchange: exchanges.Exchange, found: delegations.Delegation
) -> None:
    """Mark the parts of a group as no longer gathered by another node."""
    for service in found.services:
        part = exchange.part(service)
        part.delegated = False
        part.reason = NOT_GATHERED
        exchange.open_services.discard(service)
