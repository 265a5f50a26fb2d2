"""A request to another task and the mailbox for its reply."""

import dataclasses
from typing import Any

from gypsumbridge_node import mailbox


@dataclasses.dataclass(frozen=True)
class TaskRequest:
    """Requests one reply from a task; the reply carries the same token."""

    request: Any
    reply_to: mailbox.Mailbox
