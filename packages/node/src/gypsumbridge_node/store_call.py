"""A store request and where its reply goes."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_node import mailbox


@dataclasses.dataclass(frozen=True)
class StoreCall:
    """Asks the store task for one call."""

    request: messages.StoreRequest
    reply_to: mailbox.Mailbox
