"""An HTTP resource that answers unknown paths with JSON."""

from typing import Any

from twisted.web import resource

from gypsumbridge_decisions import errors
from gypsumbridge_node import function_resource
from gypsumbridge_node import json_request
from gypsumbridge_wire import operator


class PathResource(resource.Resource):
    """Routes requests to its children."""

    def getChild(  # noqa: N802
        self, path: bytes, request: Any
    ) -> resource.Resource:
        """Return a resource that answers 404, for a path without a child."""
        return function_resource.FunctionResource(_not_found)

    def render(self, request: Any) -> bytes:
        """Answer a request for the path itself."""
        return _not_found(request)


def _not_found(request: Any) -> bytes:
    error = errors.NotFoundError(
        f'there is nothing at {json_request.path(request)[:128]!r}',
        'use /v1/query, /v1/resources, /v1/nodes, /healthz or /readyz',
    )
    return json_request.respond(request, operator.encode_error(error))
