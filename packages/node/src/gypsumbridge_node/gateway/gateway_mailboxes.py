"""The mailboxes of the gateway's tasks."""

import dataclasses

from gypsumbridge_node import mailbox


@dataclasses.dataclass(frozen=True)
class GatewayMailboxes:
    """One mailbox for each task, to which other tasks send messages."""

    ingress: mailbox.Mailbox
    forwarding: mailbox.Mailbox
    searchers: mailbox.Mailbox
    discovery: mailbox.Mailbox
    store: mailbox.Mailbox
    peers: mailbox.Mailbox
    relay: mailbox.Mailbox
    coordinators: mailbox.Mailbox
    delegated: mailbox.Mailbox
    quotas: mailbox.Mailbox
    holders: mailbox.Mailbox
    grants: mailbox.Mailbox
    lifecycle: mailbox.Mailbox
