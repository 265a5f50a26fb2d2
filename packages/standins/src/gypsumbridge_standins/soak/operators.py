"""Operators who change resources in the store."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.replay import store_run
from gypsumbridge_standins.soak import catalogs
from gypsumbridge_standins.soak import checks
from gypsumbridge_standins.soak import reporting
from gypsumbridge_standins.soak import soak_state
from gypsumbridge_wire import store as store_wire

Change = Callable[[resources.Spec], resources.Spec]
Stored = Callable[[int], None]

ACCEPT_WAIT_MS = 10_000
# Times after a change at which endpoints drop old index versions.
PRUNE_DELAYS_MS = (5_000, 15_000)
MAX_EDIT_MS = 20
MEAN_INTERVAL_MS = 2_000


def change_resource(
    state: soak_state.SoakState,
    kind: resources.Kind,
    name: str,
    edit: Change,
    stored: Stored,
) -> None:
    """Read a resource, edit and write it, and await acceptance.

    `stored` is called with the revision of the write.
    """
    state.operations += 1
    operation = f'operation-{state.operations}'
    key = store_wire.encode_key(kind, name)
    random = state.replay.random

    def handle_read(reply: messages.StoreReply) -> None:
        if reply.status != messages.StoreStatus.OK:
            return
        item = reply.items[0]
        resource = store_wire.decode_item(item)
        if resource.spec is None:
            return
        changed = dataclasses.replace(
            resource,
            generation=resource.generation + 1,
            operation_id=operation,
            spec=edit(resource.spec),
        )
        request = messages.StoreRequest(
            operation,
            messages.StoreOperation.WRITE,
            key,
            store_wire.encode_value(changed),
            expected_revision=item.revision,
        )
        state.replay.scheduler.after(
            random.randrange(MAX_EDIT_MS),
            lambda: store_run.call(
                state.replay, operation, request, handle_written
            ),
        )

        def handle_written(answer: messages.StoreReply) -> None:
            reporting.add_to_digest(
                state, f'{operation} {key} {answer.status}'
            )
            if answer.status != messages.StoreStatus.OK:
                return
            checks.check_single_replacement(
                state, key, item.revision, operation
            )
            stored(answer.revision)
            await_acceptance(state, operation, answer.revision)

    read = messages.StoreRequest(operation, messages.StoreOperation.READ, key)
    store_run.call(state.replay, operation, read, handle_read)


def change_limits(state: soak_state.SoakState) -> None:
    """Change an endpoint's connection limit now and schedule the next.

    A change that is accepted while a node is disturbed reveals a node that
    continues with an old configuration.
    """
    if not state.sending:
        return
    random = state.replay.random
    interval_ms = 1 + round(random.expovariate(1.0) * MEAN_INTERVAL_MS)
    state.replay.scheduler.after(interval_ms, lambda: change_limits(state))

    def edit(spec: resources.Spec) -> resources.Spec:
        assert isinstance(spec, resources.Endpoint)
        return dataclasses.replace(spec, connections=spec.connections + 1)

    name = random.choice(list(state.replay.endpoints))
    change_resource(
        state, resources.Kind.ENDPOINT, name, edit, lambda revision: None
    )


def await_acceptance(
    state: soak_state.SoakState, operation: str, revision: int
) -> None:
    """Request a report of a change's acceptance from a random node."""
    up = [n for n, node in state.replay.nodes.items() if node.alive]
    if up:
        request = messages.AwaitAccepted(operation, revision, ACCEPT_WAIT_MS)
        delivery.deliver(state.replay, state.replay.random.choice(up), request)


def repartition(state: soak_state.SoakState, operators: int) -> None:
    """Have operators concurrently give one service new index versions."""
    replay = state.replay
    service = replay.random.choice(sorted(catalogs.MINIMUM_COVERAGE))
    for _ in range(operators):
        number = state.index_versions.get(service, 1) + 1
        state.index_versions[service] = number
        for endpoint in endpoints_of(state, service):
            endpoint.versions = endpoint.versions | {f'v{number}'}

        def edit(spec: resources.Spec, at: int = number) -> resources.Spec:
            assert isinstance(spec, resources.Service)
            return catalogs.at_version(spec, at)

        kind = resources.Kind.SERVICE
        change_resource(state, kind, service, edit, lambda revision: None)
    for delay_ms in PRUNE_DELAYS_MS:
        replay.scheduler.after(delay_ms, lambda: prune(state, service))


def prune(state: soak_state.SoakState, service: str) -> None:
    """Remove the index versions that are not declared from endpoints."""
    key = store_wire.encode_key(resources.Kind.SERVICE, service)
    value, revision = state.replay.store.state.items[key]
    item = messages.StoreItem(key, value, revision)
    spec = store_wire.decode_item(item).spec
    assert isinstance(spec, resources.Service)
    # A write that is still in flight may declare the newest version.
    newest = f'v{state.index_versions.get(service, 1)}'
    for endpoint in endpoints_of(state, service):
        endpoint.versions = {spec.current_version, newest}


def endpoints_of(state: soak_state.SoakState, service: str) -> list:
    """Return the endpoints of a service."""
    return [
        endpoint
        for name, endpoint in state.replay.endpoints.items()
        if name.startswith(service)
    ]


def declare_leaving(
    state: soak_state.SoakState, name: str, leaving: bool
) -> None:
    """Declare that an endpoint is leaving, or that it no longer is."""

    def edit(spec: resources.Spec) -> resources.Spec:
        assert isinstance(spec, resources.Endpoint)
        return dataclasses.replace(spec, leaving=leaving)

    def stored(revision: int) -> None:
        if leaving:
            state.declared_leaving[name] = revision

    change_resource(state, resources.Kind.ENDPOINT, name, edit, stored)
