"""Determines the outcome of a write whose reply was lost."""

from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_node.operator_api import calls as operator_calls
from gypsumbridge_node.operator_api import read
from gypsumbridge_wire import store

# The write may still be in flight when the wait for its reply ends, so the
# history is read several times before the outcome is reported as unknown:
# over 3 s with a store that replies, 13 s with one that times out each read.
READ_ATTEMPTS = 10
READ_INTERVAL_MS = 300


async def determine_outcome(
    calls: operator_calls.Calls,
    operation: messages.StoreOperation,
    prepared: declaration.PreparedWrite,
    base_revision: int,
) -> int:
    """Return the revision of a write if it was applied.

    `base_revision` is the store's revision before the write. Raises
    ConflictError if the write was not applied and no longer can be, and
    OutcomeUnknownError if the store does not show which is the case.
    """
    written = prepared.resource
    expected_revision = prepared.expected_revision
    for attempt in range(READ_ATTEMPTS):
        if attempt:
            await calls.pause(READ_INTERVAL_MS)
        history = await read_history(calls, written, base_revision)
        if history is None:
            continue
        if operation == messages.StoreOperation.DELETE:
            outcome, revision = declaration.find_delete_outcome(
                history, expected_revision
            )
        else:
            outcome, revision = declaration.find_write_outcome(
                history, written, expected_revision
            )
        if outcome == declaration.WriteOutcome.APPLIED:
            return revision
        if outcome == declaration.WriteOutcome.NOT_APPLIED:
            raise errors.ConflictError(
                f'{written.kind} {written.name} was replaced before this'
                f' write, and is at revision {revision}',
                'nothing was changed; read it, decide again and send that'
                ' revision',
                revision,
            )
    raise errors.OutcomeUnknownError(
        f'the reply to the {operation} of {written.kind} {written.name} was'
        ' lost, and the store does not show whether it was applied',
        'read the resource when the store answers, compare it with what you'
        ' sent and send the request again if it differs',
    )


async def read_history(
    calls: operator_calls.Calls,
    written: resources.Resource,
    base_revision: int,
) -> list[resources.Resource] | None:
    """Return the changes of a resource after a store revision.

    None means that the store did not reply. If the store has compacted the
    history, the current value is returned in its place.
    """
    key = store.encode_key(written.kind, written.name)
    reply = await calls.call_store(
        messages.StoreRequest(
            '',
            messages.StoreOperation.WATCH,
            key,
            after_revision=base_revision,
        )
    )
    if reply.status == messages.StoreStatus.COMPACTED:
        return await _current_as_history(calls, written, base_revision)
    if reply.status != messages.StoreStatus.OK:
        return None
    # A watch also returns the keys that have this key as a prefix.
    return [store.decode_item(i) for i in reply.items if i.key == key]


async def _current_as_history(
    calls: operator_calls.Calls,
    written: resources.Resource,
    base_revision: int,
) -> list[resources.Resource] | None:
    try:
        current, _ = await read.read_current(calls, written.kind, written.name)
    except errors.StoreUnavailableError:
        return None
    if current is None or current.revision <= base_revision:
        return []
    return [current]
