"""A request to another task and where its reply goes."""

import dataclasses
from typing import Any

from gypsumbridge_node import mailbox


@dataclasses.dataclass(frozen=True)
class TaskRequest:
    """Asks a task for one reply, which carries the request's token."""

    request: Any
    reply_to: mailbox.Mailbox
