"""The task that maintains the list of the fleet's nodes."""

from typing import Any

from gypsumbridge_decisions import membership
from gypsumbridge_decisions import messages
from gypsumbridge_node import address
from gypsumbridge_node import execute as executors
from gypsumbridge_node import http_client
from gypsumbridge_node import http_response
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_wire import host_list
from gypsumbridge_wire import http_request

POLL = 'poll'
POOL_CONNECTIONS = 1
MAX_LOGGED_CHARS = 1_000


def start_membership_task(runtime: runtimes.Runtime) -> None:
    """Probe the other nodes and publish the list of members."""
    state = make_state(runtime)
    mailboxes = runtime.mailboxes
    poll = make_poll(runtime)

    def publish(changed: messages.MembersChanged) -> None:
        for task_mailbox in (
            mailboxes.peer_link,
            mailboxes.front,
            mailboxes.owner,
            mailboxes.mutation,
            mailboxes.configuration,
            mailboxes.operator_http,
        ):
            task_mailbox.put(changed)

    execute = executors.make_executor(
        runtime,
        mailboxes.membership,
        {
            messages.ToPeer: runtime.mailboxes.peer_link.put,
            messages.ToAddress: mailboxes.peer_link.put,
            messages.MembersChanged: publish,
            messages.ServingCondition: mailboxes.lifecycle.put,
            messages.LeavingAnnounced: mailboxes.lifecycle.put,
        },
    )

    def handle(message: Any) -> None:
        if message == POLL:
            poll()
            return
        if isinstance(message, messages.HostList):
            # The host list also has the endpoints that are leaving.
            mailboxes.owner.put(message)
        execute(membership.handle(state, message, runtime.clock.now_ms()))

    mailboxes.membership.start(handle)
    mailboxes.membership.put(membership.ProbeTick())
    mailboxes.membership.put(POLL)


def make_state(runtime: runtimes.Runtime) -> membership.MembershipState:
    """Return this node's initial state, whose random seed is logged."""
    node = runtime.settings.node
    seed = f'{node.node_id} {runtime.clock.wall_ms()}'
    runtime.logger.info('membership started', extra={'seed': seed})
    own_member = messages.Member(
        node.node_id, node.failure_domain, node.peer_address, node.http_address
    )
    return membership.make_membership_state(own_member, seed)


def make_poll(runtime: runtimes.Runtime) -> Any:
    """Return a function that polls the host list and schedules a next poll."""
    own_mailbox = runtime.mailboxes.membership
    settings = runtime.settings.host_list
    host, port = address.split_address(settings.address)
    pool = http_client.make_pool(runtime.reactor, POOL_CONNECTIONS)
    call = http_client.make_call(runtime.reactor, pool, settings.interval_ms)
    request = http_request.HttpRequest('GET', host_list.HOSTS_PATH, {}, b'')
    last_body = b''

    def poll() -> None:
        running = call(host, port, request)
        running.addTimeout(settings.interval_ms / 1000, runtime.reactor)
        running.addCallback(receive)
        running.addErrback(failed)
        own_mailbox.put_later(settings.interval_ms, POLL)

    def receive(response: http_response.HttpResponse) -> None:
        nonlocal last_body
        # Processing a list of 8,300 nodes costs 23 ms, and most polls return
        # the same list as the one before.
        if response.body == last_body:
            return
        listed = host_list.decode(response.body)
        hosts, dropped = host_list.drop_unusable(listed)
        if dropped:
            runtime.metrics.count('host_list.unusable', len(dropped))
            runtime.logger.warning(
                'nodes in the host list have no usable address',
                extra={'hosts': ' '.join(dropped)[:MAX_LOGGED_CHARS]},
            )
        own_mailbox.put(hosts)
        last_body = response.body

    def failed(reason: Any) -> None:
        runtime.metrics.count('host_list.failures')
        reason.trap(Exception)

    return poll
