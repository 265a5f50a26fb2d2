"""An HTTP resource that delegates to a function."""

from collections.abc import Callable
from typing import Any

from twisted.web import resource


class FunctionResource(resource.Resource):
    """Passes every request to one function."""

    isLeaf = True

    def __init__(self, handle: Callable[[Any], Any]) -> None:
        super().__init__()
        self.handle = handle

    def render(self, request: Any) -> Any:
        """Return the response body, or NOT_DONE_YET for a later response."""
        return self.handle(request)
