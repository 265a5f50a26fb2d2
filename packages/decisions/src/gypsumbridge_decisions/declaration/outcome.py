"""Finds out whether a write whose reply was lost was applied."""

from collections.abc import Sequence

from gypsumbridge_decisions import resources
from gypsumbridge_decisions.declaration import write_outcome


def find_write_outcome(
    history: Sequence[resources.Resource],
    written: resources.Resource,
    expected_revision: int,
) -> tuple[write_outcome.WriteOutcome, int]:
    """Return the state of a write and its revision, or the current one.

    `history` holds the resource's changes after `expected_revision`,
    oldest first. A later write does not hide ours, whose own entry with
    our operation id stays in the history. Without that entry, ours is
    ruled out only if the first change has the generation that ours would
    have had: another write then replaced the expected revision. A higher
    generation or a deletion may stand for changes that the store no
    longer shows. A create is never ruled out, since it may still be
    applied after somebody else's resource is deleted.
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
    """Return the state of a deletion and its revision.

    A deletion has no value that could hold an operation id. Only one
    deletion of a revision can succeed, and another operator's has the same
    effect, so the first change after the expected revision decides.
    """
    if not history:
        return write_outcome.WriteOutcome.OPEN, expected_revision
    if history[0].spec is None:
        return write_outcome.WriteOutcome.APPLIED, history[0].revision
    return write_outcome.WriteOutcome.NOT_APPLIED, history[-1].revision
