"""The mailboxes of all tasks of a node."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import interfaces

from gypsumbridge_node import mailbox


@dataclasses.dataclass(frozen=True)
class Mailboxes:
    """One mailbox for each task; this is how tasks reach each other."""

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


def make_mailboxes(
    reactor: interfaces.IReactorTime,
    on_error: Callable[[Exception, Any], None],
) -> Mailboxes:
    """Return a mailbox for each task."""
    made = {
        field.name: mailbox.make_mailbox(reactor, on_error)
        for field in dataclasses.fields(Mailboxes)
    }
    return Mailboxes(**made)
