"""Answers questions about what a task holds."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_node import task_request


def with_status(
    handle: Callable[[Any], None], count: Callable[[], dict[str, int]]
) -> Callable[[Any], None]:
    """Return a handler that also answers `StatusQuery`."""

    def handle_all(message: Any) -> None:
        if isinstance(message, task_request.TaskRequest) and isinstance(
            message.request, messages.StatusQuery
        ):
            token = message.request.token
            message.reply_to.put(messages.TaskStatus(token, count()))
            return
        handle(message)

    return handle_all
