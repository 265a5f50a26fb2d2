"""Decides how a write or delete applies to the current resource."""

from gypsumbridge_decisions import resources
from gypsumbridge_decisions.declaration import prepared_write
from gypsumbridge_decisions.declaration import write_action


def prepare_write(
    current: resources.Resource | None,
    spec: resources.Spec,
    expected_revision: int,
    operation_id: str,
) -> prepared_write.PreparedWrite:
    """Return the write of a spec over the current resource.

    A spec that equals the current one is unchanged at any expected
    revision, so that a request whose reply was lost can be repeated.
    """
    revision = 0 if current is None else current.revision
    generation = 0 if current is None else current.generation
    if current is not None and current.spec == spec:
        return prepared_write.PreparedWrite(
            write_action.WriteAction.UNCHANGED, current, revision
        )
    action = write_action.WriteAction.WRITE
    if expected_revision != revision:
        action = write_action.WriteAction.CONFLICT
    updated = resources.Resource(
        resources.kind_of(spec),
        spec.name,
        generation + 1,
        revision,
        operation_id,
        spec,
    )
    return prepared_write.PreparedWrite(action, updated, revision)


def prepare_delete(
    current: resources.Resource, expected_revision: int
) -> prepared_write.PreparedWrite:
    """Return the deletion of the current resource, or the conflict."""
    action = write_action.WriteAction.WRITE
    if expected_revision != current.revision:
        action = write_action.WriteAction.CONFLICT
    return prepared_write.PreparedWrite(action, current, current.revision)
