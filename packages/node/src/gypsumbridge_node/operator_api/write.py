"""Writes of declared resources."""

from collections.abc import Callable
import dataclasses
import secrets

from gypsumbridge_decisions import catalog as catalogs
from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node.operator_api import calls as operator_calls
from gypsumbridge_node.operator_api import lost_reply
from gypsumbridge_node.operator_api import read
from gypsumbridge_node.operator_api import state as states
from gypsumbridge_wire import operator
from gypsumbridge_wire import store

OPERATION_ID_BYTES = 12


async def put(
    runtime: runtimes.Runtime,
    state: states.OperatorState,
    calls: operator_calls.Calls,
    spec: resources.Spec,
    expected_revision: int,
    wait_ms: int,
) -> read.Reply:
    """Write a spec unless the store already has the same one."""
    kind = resources.kind_of(spec)
    current, base_revision = await read.read_current(calls, kind, spec.name)
    operation_id = secrets.token_hex(OPERATION_ID_BYTES)
    prepared = declaration.prepare_write(
        current, spec, expected_revision, operation_id
    )
    written = prepared.resource
    changed = prepared.action == declaration.WriteAction.WRITE
    if prepared.action == declaration.WriteAction.CONFLICT:
        raise make_conflict_error(written, prepared.expected_revision)
    if changed:
        await check_others(
            state, calls, lambda c: declaration.check_references(c, spec)
        )
        revision = await _write_to_store(
            calls, messages.StoreOperation.WRITE, prepared, base_revision
        )
        written = dataclasses.replace(written, revision=revision)
    return await _report(runtime, calls, written, wait_ms, changed)


async def delete(
    runtime: runtimes.Runtime,
    state: states.OperatorState,
    calls: operator_calls.Calls,
    kind: resources.Kind,
    name: str,
    expected_revision: int,
    wait_ms: int,
) -> read.Reply:
    """Delete a resource that no other one references."""
    current, base_revision = await read.read_current(calls, kind, name)
    if current is None:
        raise read.make_not_found_error(kind, name)
    prepared = declaration.prepare_delete(current, expected_revision)
    if prepared.action == declaration.WriteAction.CONFLICT:
        raise make_conflict_error(current, current.revision)
    await check_others(
        state, calls, lambda c: declaration.check_unused(c, kind, name)
    )
    revision = await _write_to_store(
        calls, messages.StoreOperation.DELETE, prepared, base_revision
    )
    deleted = dataclasses.replace(current, revision=revision, spec=None)
    return await _report(runtime, calls, deleted, wait_ms, True)


async def check_others(
    state: states.OperatorState,
    calls: operator_calls.Calls,
    check: Callable[[catalogs.Catalog], None],
) -> None:
    """Check a write against the other resources.

    This node's catalog may be older than the store, so a check that fails
    on it is repeated on a full list. A list for each write would transfer
    the whole configuration each time.
    """
    try:
        check(state.catalog)
    except errors.DeclarationError:
        listed, revision = await read.list_under(calls, store.CONFIG_PREFIX)
        check(catalogs.make_catalog(revision, listed))


def make_conflict_error(
    resource: resources.Resource, revision: int
) -> errors.ConflictError:
    """Return the error for a write that another write preceded."""
    return errors.ConflictError(
        f'{resource.kind} {resource.name} is at revision {revision}',
        'nothing was changed; read it, decide again and send that revision',
        revision,
    )


async def _write_to_store(
    calls: operator_calls.Calls,
    operation: messages.StoreOperation,
    prepared: declaration.PreparedWrite,
    base_revision: int,
) -> int:
    written = prepared.resource
    value = ''
    if operation == messages.StoreOperation.WRITE:
        value = store.encode_value(written)
    reply = await calls.call_store(
        messages.StoreRequest(
            '',
            operation,
            store.encode_key(written.kind, written.name),
            value,
            expected_revision=prepared.expected_revision,
        )
    )
    statuses = messages.StoreStatus
    if reply.status == statuses.OK:
        return reply.revision
    if reply.status == statuses.CONFLICT:
        raise make_conflict_error(written, reply.revision)
    if reply.status == statuses.UNKNOWN:
        return await lost_reply.determine_outcome(
            calls, operation, prepared, base_revision
        )
    if reply.status == statuses.REJECTED:
        raise errors.DeclarationError(
            f'the store rejects a value of {len(value)} bytes',
            'split the resource; the store accepts values up to 1 MiB',
        )
    raise errors.StoreUnavailableError(
        f'the configuration store did not accept the write ({reply.status})',
        'nothing was changed; try again when the store answers',
    )


async def _report(
    runtime: runtimes.Runtime,
    calls: operator_calls.Calls,
    written: resources.Resource,
    wait_ms: int,
    changed: bool,
) -> read.Reply:
    accepted = await operator_calls.await_accepted(
        runtime, calls, written.revision, wait_ms
    )
    force = await calls.query_in_force(written.revision)
    return operator.encode_written(written, force, accepted, changed)
