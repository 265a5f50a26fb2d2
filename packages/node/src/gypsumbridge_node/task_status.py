"""Replies to queries about a task's load."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_node import task_request


def with_status(
    handle: Callable[[Any], None], count: Callable[[], dict[str, int]]
) -> Callable[[Any], None]:
    """Return a handler that also replies to `StatusQuery` with the counts."""

    def handle_all(message: Any) -> None:
        if isinstance(message, task_request.TaskRequest) and isinstance(
            message.request, messages.StatusQuery
        ):
            token = message.request.token
            message.reply_to.put(messages.TaskStatus(token, count()))
            return
        handle(message)

    return handle_all
