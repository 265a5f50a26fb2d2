"""Determines whether a write whose reply was lost has been applied."""

from collections.abc import Sequence

from gypsumbridge_decisions import resources
from gypsumbridge_decisions.declaration import write_outcome


def find_write_outcome(
    history: Sequence[resources.Resource],
    written: resources.Resource,
    expected_revision: int,
) -> tuple[write_outcome.WriteOutcome, int]:
    """Return the outcome of a write with its revision or the current one.

    `history` holds the resource's changes after `expected_revision`,
    oldest first. If the write was applied, the history has an entry with
    its operation id, also after later writes. Without that entry, the write
    is certain not to be applied only if the first change has the generation
    that the write would have had, because then another write replaced the
    expected revision. A higher generation or a deletion may follow changes
    that the store has compacted. A create without an entry is always left
    open, since it may still be applied after another operator's resource is
    deleted.
    """
    for change in history:
        if change.operation_id == written.operation_id:
            return write_outcome.WriteOutcome.APPLIED, change.revision
    if not history:
        return write_outcome.WriteOutcome.OPEN, expected_revision
    revision = history[-1].revision
    replaced = history[0].generation == written.generation
    if replaced and expected_revision:
        return write_outcome.WriteOutcome.NOT_APPLIED, revision
    return write_outcome.WriteOutcome.OPEN, revision


def find_delete_outcome(
    history: Sequence[resources.Resource], expected_revision: int
) -> tuple[write_outcome.WriteOutcome, int]:
    """Return the outcome of a deletion with its revision or the current one.

    A deletion has no value that could hold an operation id. Only one
    deletion of a revision can succeed, and another operator's deletion has
    the same effect, so the first change after the expected revision
    decides.
    """
    if not history:
        return write_outcome.WriteOutcome.OPEN, expected_revision
    if history[0].spec is None:
        return write_outcome.WriteOutcome.APPLIED, history[0].revision
    return write_outcome.WriteOutcome.NOT_APPLIED, history[-1].revision
