"""The mailboxes of all tasks of a node."""

import dataclasses

from gypsumbridge_node import mailbox


@dataclasses.dataclass(frozen=True)
class Mailboxes:
    """One mailbox for each task; tasks communicate only through them."""

    caller_http: mailbox.Mailbox
    front: mailbox.Mailbox
    owner: mailbox.Mailbox
    endpoint: mailbox.Mailbox
    peer_link: mailbox.Mailbox
    store: mailbox.Mailbox
    configuration: mailbox.Mailbox
    membership: mailbox.Mailbox
    mutation: mailbox.Mailbox
    lifecycle: mailbox.Mailbox
    operator_http: mailbox.Mailbox
