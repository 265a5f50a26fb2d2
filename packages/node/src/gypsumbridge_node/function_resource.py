"""An HTTP resource whose behaviour is a function."""

from collections.abc import Callable
from typing import Any

from twisted.web import resource


class FunctionResource(resource.Resource):
    """Renders every request with one function."""

    isLeaf = True

    def __init__(self, handle: Callable[[Any], Any]) -> None:
        super().__init__()
        self.handle = handle

    def render(self, request: Any) -> Any:
        """Return the body, or NOT_DONE_YET."""
        return self.handle(request)
