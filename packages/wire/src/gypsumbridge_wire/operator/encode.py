"""Encodes the responses to operators."""

from collections.abc import Iterable
from typing import Any

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources

HTTP_OK = 200
HTTP_CREATED = 201
HTTP_STORED = 202
_STATUS_BY_CODE = {
    'bad_request': 400,
    'bad_declaration': 400,
    'not_found': 404,
    'method_not_allowed': 405,
    'conflict': 409,
    'compacted': 410,
    'too_large': 413,
}
HTTP_UNAVAILABLE = 503


def make_resource_body(
    resource: resources.Resource, report: messages.ForceReport | None
) -> dict[str, Any]:
    """Return the JSON object of a resource.

    With a report, its status shows whether the resource's last write is in
    force. `observed_generation` is 0 until a node is known to have it.
    """
    body: dict[str, Any] = {
        'kind': resource.kind,
        'name': resource.name,
        'generation': resource.generation,
        'revision': resource.revision,
        'spec': resource.spec,
    }
    if report is not None:
        applied = report.in_force or report.lagging_nodes < report.live_nodes
        body['status'] = {
            'observed_generation': resource.generation if applied else 0,
            'in_force': report.in_force,
            'lagging_nodes': report.lagging_nodes,
            'live_nodes': report.live_nodes,
        }
    return body


def encode_resource(
    resource: resources.Resource, report: messages.ForceReport
) -> tuple[int, bytes]:
    """Return the HTTP status and body of a read."""
    body = make_resource_body(resource, report)
    return HTTP_OK, msgspec.json.encode(body)


def encode_list(
    listed: Iterable[tuple[resources.Resource, messages.ForceReport]],
    revision: int,
) -> tuple[int, bytes]:
    """Return the HTTP status and body of a list."""
    items = [
        make_resource_body(resource, report) for resource, report in listed
    ]
    body = {'revision': revision, 'items': items}
    return HTTP_OK, msgspec.json.encode(body)


def encode_changes(
    changes: Iterable[resources.Resource], revision: int
) -> tuple[int, bytes]:
    """Return the HTTP status and body of a watch.

    A deleted resource has no spec.
    """
    items = [make_resource_body(change, None) for change in changes]
    body = {'revision': revision, 'items': items}
    return HTTP_OK, msgspec.json.encode(body)


def encode_written(
    resource: resources.Resource,
    report: messages.ForceReport,
    accepted: messages.AcceptedReport,
    changed: bool,
) -> tuple[int, bytes]:
    """Return the HTTP status and body of a write that the store has applied.

    The write is a success only when it is accepted.
    """
    body = make_resource_body(resource, report)
    body['changed'] = changed
    body['state'] = 'accepted' if accepted.accepted else 'stored'
    body['failure_domains'] = accepted.failure_domains
    status = HTTP_STORED
    if accepted.accepted:
        created = changed and resource.generation == 1
        status = HTTP_CREATED if created else HTTP_OK
    else:
        body['message'] = (
            'the store holds the change, but relays of a majority of failure'
            ' domains did not confirm it in time'
        )
        body['remedy'] = 'read the resource or run gypsumctl wait'
    return status, msgspec.json.encode(body)


def encode_error(error: errors.GypsumbridgeError) -> tuple[int, bytes]:
    """Return the HTTP status and body of an error."""
    run_state = messages.RunState.NOT_RUN
    if isinstance(error, (errors.OutcomeUnknownError, errors.InvariantError)):
        run_state = messages.RunState.OUTCOME_UNKNOWN
    body: dict[str, Any] = {
        'status': 'refused',
        'run_state': run_state,
        'code': error.code,
        'message': error.message,
        'remedy': error.remedy,
    }
    if isinstance(error, errors.ConflictError):
        body['revision'] = error.revision
    status = _STATUS_BY_CODE.get(error.code, HTTP_UNAVAILABLE)
    return status, msgspec.json.encode(body)


def encode_nodes(body: dict[str, Any]) -> tuple[int, bytes]:
    """Return the HTTP status and body of a node's own status."""
    return HTTP_OK, msgspec.json.encode(body)
