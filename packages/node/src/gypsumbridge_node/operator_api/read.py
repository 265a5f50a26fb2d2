"""Reads of declared resources."""

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node.operator_api import calls as operator_calls
from gypsumbridge_wire import operator
from gypsumbridge_wire import store

Reply = tuple[int, bytes]


async def read_current(
    calls: operator_calls.Calls, kind: resources.Kind, name: str
) -> tuple[resources.Resource | None, int]:
    """Return the resource, or None, and the store's revision.

    Raises StoreUnavailableError.
    """
    key = store.encode_key(kind, name)
    reply = await calls.call_store(
        messages.StoreRequest('', messages.StoreOperation.READ, key)
    )
    if reply.status == messages.StoreStatus.NOT_FOUND:
        return None, reply.revision
    check_read(reply)
    return store.decode_item(reply.items[0]), reply.revision


async def get_one(
    calls: operator_calls.Calls, kind: resources.Kind, name: str
) -> Reply:
    """Return one resource with its status."""
    resource, _ = await read_current(calls, kind, name)
    if resource is None:
        raise make_not_found_error(kind, name)
    return operator.encode_resource(
        resource, await calls.query_in_force(resource.revision)
    )


async def get_all(calls: operator_calls.Calls, kind: resources.Kind) -> Reply:
    """Return every resource of a kind with its status.

    When the newest revision is in force, so are all older ones, and one
    query serves for all of them.
    """
    prefix = store.encode_key(kind, '')
    listed, revision = await list_under(calls, prefix)
    newest = max((r.revision for r in listed), default=0)
    report = await calls.query_in_force(newest)
    items = []
    for resource in listed:
        if not report.in_force:
            report = await calls.query_in_force(resource.revision)
        items.append((resource, report))
    return operator.encode_list(items, revision)


async def list_under(
    calls: operator_calls.Calls, prefix: str
) -> tuple[list[resources.Resource], int]:
    """Return the resources under a key prefix and the store's revision."""
    reply = await calls.call_store(
        messages.StoreRequest('', messages.StoreOperation.LIST, prefix)
    )
    check_read(reply)
    return [store.decode_item(item) for item in reply.items], reply.revision


async def watch(
    runtime: runtimes.Runtime,
    calls: operator_calls.Calls,
    after_revision: int,
    wait_ms: int,
) -> Reply:
    """Return the changes after a revision, once there are some.

    The wait is on this node's own catalog, so a waiting operator causes no
    load on the store; the store is read once, when the wait ends.
    """
    await calls.await_revision(after_revision, wait_ms)
    reply = await calls.call_store(
        messages.StoreRequest(
            '',
            messages.StoreOperation.WATCH,
            store.CONFIG_PREFIX,
            after_revision=after_revision,
        )
    )
    if reply.status == messages.StoreStatus.COMPACTED:
        raise errors.CompactedError(
            'the store no longer has the changes after revision'
            f' {after_revision}',
            'list the resources and watch from the revision of the list',
        )
    check_read(reply)
    changes = [store.decode_item(item) for item in reply.items]
    return operator.encode_changes(
        changes, max(after_revision, reply.revision)
    )


def check_read(reply: messages.StoreReply) -> None:
    """Raise StoreUnavailableError unless the store replied with OK."""
    if reply.status == messages.StoreStatus.OK:
        return
    raise errors.StoreUnavailableError(
        f'the configuration store did not answer ({reply.status})',
        'nothing was changed; try again when the store answers',
    )


def make_not_found_error(
    kind: resources.Kind, name: str
) -> errors.NotFoundError:
    """Return the error for a resource that does not exist."""
    return errors.NotFoundError(
        f'there is no {name} among {kind}',
        f'list them with GET {operator.RESOURCES_PATH}/{kind}',
    )
