"""A store request and the mailbox for its reply."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_node import mailbox


@dataclasses.dataclass(frozen=True)
class StoreCall:
    """Makes the store task send one request to the store."""

    request: messages.StoreRequest
    reply_to: mailbox.Mailbox
