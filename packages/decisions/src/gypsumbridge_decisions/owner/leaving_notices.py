"""Handles signals that endpoints are leaving and notifies their owners."""

from gypsumbridge_decisions import catalog as catalogs
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_decisions import routing
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import dispatching
from gypsumbridge_decisions.owner import health_timer
from gypsumbridge_decisions.owner import host_notice_timer
from gypsumbridge_decisions.owner import leaving_sources
from gypsumbridge_decisions.owner import operator_notice
from gypsumbridge_decisions.owner import state as states

ENDPOINT_ROLE = 'endpoint'
# Relays are the nodes that watch the store. Only they forward changes that
# every node eventually reads itself; otherwise the owner of a leaving endpoint
# would get a message from every node.
RELAYS_PER_DOMAIN = 2
HEALTH_CHECK_MS = 5_000
# Longer than the lag between the host list copies of two nodes.
HOST_NOTICE_TTL_MS = 10_000


def update_members(
    state: states.OwnerState, changed: messages.MembersChanged
) -> None:
    """Replace the members and determine whether this node is a relay."""
    state.ownership.replace_members(changed.members)
    own = [m for m in changed.members if m.node_id == state.node_id]
    state.is_relay = False
    for member in own:
        domain = member.failure_domain
        ids = state.ownership.domains.get(domain, ())
        relays = routing.ordered(ids, domain)[:RELAYS_PER_DOMAIN]
        state.is_relay = state.node_id in relays


def apply_host_list(
    state: states.OwnerState, hosts: messages.HostList, now_ms: int
) -> list[command.Command]:
    """Apply the leaving flags of this node's copy of the host list.

    A host that is no longer listed stays marked as leaving, since it has
    been removed and has not returned to service.
    """
    commands: list[command.Command] = []
    for host in hosts.hosts:
        if host.role != ENDPOINT_ROLE:
            continue
        if host.leaving == (host.name in state.leaving_hosts):
            continue
        if host.leaving:
            state.leaving_hosts.add(host.name)
        else:
            state.leaving_hosts.discard(host.name)
        source = leaving_sources.HOST_LIST_SOURCE
        commands += leaving_sources.set_leaving_source(
            state, host.name, source, host.leaving, now_ms
        )
        if state.is_relay:
            commands += notify_owners(state, host.name, source, host.leaving)
    return commands


def apply_notice(
    state: states.OwnerState, notice: messages.EndpointLeaving, now_ms: int
) -> list[command.Command]:
    """Apply a leaving notice from another node."""
    if notice.source == leaving_sources.OPERATOR_SOURCE:
        return _apply_operator_notice(state, notice, now_ms)
    commands = leaving_sources.set_leaving_source(
        state, notice.endpoint, notice.source, notice.leaving, now_ms
    )
    if not commands:
        return []
    if notice.source == leaving_sources.HOST_LIST_SOURCE:
        timer = host_notice_timer.HostNoticeTimer(notice.endpoint)
        commands.append(messages.Timer(HOST_NOTICE_TTL_MS, timer))
    elif notice.leaving:
        commands.append(_health_timer(notice.endpoint))
    return commands


def _apply_operator_notice(
    state: states.OwnerState, notice: messages.EndpointLeaving, now_ms: int
) -> list[command.Command]:
    known = state.operator_notices.get(notice.endpoint)
    newest = state.catalog.revision if known is None else known.revision
    if notice.revision <= max(newest, state.catalog.revision):
        return []
    state.operator_notices[notice.endpoint] = operator_notice.OperatorNotice(
        notice.revision, notice.leaving
    )
    commands: list[command.Command] = [
        messages.Decision(
            'stop_endpoint' if notice.leaving else 'resume_endpoint',
            notice.source,
            {'endpoint': notice.endpoint, 'revision': notice.revision},
        )
    ]
    for set_state in state.sets.values():
        replica = set_state.replicas.get(notice.endpoint)
        if replica is None:
            continue
        leaving_sources.refresh_sources(state, replica)
        commands += dispatching.dispatch(state, set_state, now_ms)
    return commands


def expire_host_notice(
    state: states.OwnerState,
    timer: host_notice_timer.HostNoticeTimer,
    now_ms: int,
) -> list[command.Command]:
    """Revert to the leaving flag in this node's own copy of the host list."""
    return leaving_sources.set_leaving_source(
        state,
        timer.endpoint,
        leaving_sources.HOST_LIST_SOURCE,
        timer.endpoint in state.leaving_hosts,
        now_ms,
    )


def apply_leaving_reply(
    state: states.OwnerState, endpoint: str, now_ms: int
) -> list[command.Command]:
    """Apply the leaving flag of an endpoint's reply."""
    source = leaving_sources.REPLY_SOURCE
    commands = leaving_sources.set_leaving_source(
        state, endpoint, source, True, now_ms
    )
    if not commands:
        return []
    commands += notify_owners(state, endpoint, source, True)
    commands.append(_health_timer(endpoint))
    return commands


def check_health(
    state: states.OwnerState, timer: health_timer.HealthTimer
) -> list[command.Command]:
    """Check whether an endpoint that gets no work is serving again."""
    if leaving_sources.REPLY_SOURCE not in state.leaving_endpoints.get(
        timer.endpoint, ()
    ):
        return []
    found = find_endpoint(state.catalog, timer.endpoint)
    if found is None:
        state.leaving_endpoints.pop(timer.endpoint, None)
        return []
    endpoint_check = messages.EndpointCheck(
        found.name, found.address, found.port, found.slots + 1
    )
    return [endpoint_check]


def apply_health(
    state: states.OwnerState, health: messages.EndpointHealth, now_ms: int
) -> list[command.Command]:
    """Resume an endpoint that is serving again, or schedule another check."""
    if not health.serving:
        return [_health_timer(health.endpoint)]
    source = leaving_sources.REPLY_SOURCE
    commands = leaving_sources.set_leaving_source(
        state, health.endpoint, source, False, now_ms
    )
    if not commands:
        return []
    return commands + notify_owners(state, health.endpoint, source, False)


def notify_declared_leaving(
    state: states.OwnerState,
    before: catalogs.Catalog,
    after: catalogs.Catalog,
) -> list[command.Command]:
    """Notify owners of endpoints whose declared leaving flag has changed."""
    if not state.is_relay:
        return []
    old, new = _declared_leaving(before), _declared_leaving(after)
    commands: list[command.Command] = []
    for name in sorted(old ^ new):
        source = leaving_sources.OPERATOR_SOURCE
        commands += notify_owners(state, name, source, name in new)
    return commands


def notify_owners(
    state: states.OwnerState, endpoint: str, source: str, leaving: bool
) -> list[command.Command]:
    """Send a leaving notice to the owner and standby of an endpoint."""
    notice = messages.EndpointLeaving(
        state.node_id, endpoint, source, leaving, state.catalog.revision
    )
    return [
        messages.ToPeer(node_id, notice)
        for node_id in find_owners(state, endpoint)
        if node_id != state.node_id
    ]


def find_owners(state: states.OwnerState, endpoint: str) -> tuple[str, ...]:
    """Return owner and standby of an endpoint's replica set."""
    found = find_endpoint(state.catalog, endpoint)
    if found is None:
        return ()
    service = state.catalog.services.get(found.service)
    if service is None:
        return ()
    ownership = state.ownership.find(service, found.replica_set)
    owners = (ownership.owner, ownership.standby)
    return tuple(node_id for node_id in owners if node_id is not None)


def find_endpoint(
    catalog: catalogs.Catalog, name: str
) -> resources.Endpoint | None:
    """Return a declared endpoint, or None.

    Scans all endpoints, since the lookup is rarely needed.
    """
    for endpoints in catalog.replica_sets.values():
        for endpoint in endpoints:
            if endpoint.name == name:
                return endpoint
    return None


def _declared_leaving(catalog: catalogs.Catalog) -> set[str]:
    return {
        endpoint.name
        for endpoints in catalog.replica_sets.values()
        for endpoint in endpoints
        if endpoint.leaving
    }


def _health_timer(endpoint: str) -> messages.Timer:
    return messages.Timer(HEALTH_CHECK_MS, health_timer.HealthTimer(endpoint))
