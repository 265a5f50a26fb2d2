"""The task that knows the other nodes."""

from typing import Any

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_node import address
from gypsumbridge_node import http_client
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_wire import host_list
from gypsumbridge_wire import http_request

POLL = 'poll'
NODE_ROLE = 'node'
CONNECTIONS = 1


def start_membership_task(runtime: runtimes.Runtime) -> None:
    """Poll the host list and publish the nodes in it."""
    boxes = runtime.boxes
    settings = runtime.settings.host_list
    host, port = address.split_address(settings.address)
    pool = http_client.make_pool(runtime.reactor, CONNECTIONS)
    call = http_client.make_call(runtime.reactor, pool, settings.interval_ms)
    request = http_request.HttpRequest('GET', host_list.HOSTS_PATH, {}, b'')

    def poll() -> None:
        running = call(host, port, request)
        running.addTimeout(settings.interval_ms / 1000, runtime.reactor)
        running.addCallback(lambda r: host_list.decode(r.body))
        running.addCallbacks(boxes.membership.put, failed)
        boxes.membership.put_later(settings.interval_ms, POLL)

    def failed(reason: Any) -> None:
        runtime.metrics.count('host_list.failures')
        reason.trap(errors.FrameError, Exception)

    def publish(hosts: messages.HostList) -> None:
        changed = messages.MembersChanged(make_members(hosts))
        boxes.peer_link.put(changed)
        boxes.front.put(changed)
        boxes.mutation.put(changed)
        boxes.configuration.put(changed)

    def handle(message: Any) -> None:
        if message == POLL:
            poll()
            return
        publish(message)

    boxes.membership.start(handle)
    boxes.membership.put(POLL)


def make_members(hosts: messages.HostList) -> tuple[messages.Member, ...]:
    """Return the nodes of a host list, sorted by id."""
    members = []
    for host in hosts.hosts:
        if host.role != NODE_ROLE:
            continue
        state = messages.MemberState.ALIVE
        if host.leaving:
            state = messages.MemberState.LEAVING
        members.append(
            messages.Member(
                host.name,
                host.failure_domain,
                host.peer_address,
                host.http_address,
                0,
                state,
            )
        )
    return tuple(sorted(members, key=lambda m: m.node_id))
