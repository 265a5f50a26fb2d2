"""The mailboxes of the gateway's tasks."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import interfaces

from gypsumbridge_node import mailbox


@dataclasses.dataclass(frozen=True)
class GatewayBoxes:
    """One mailbox for each task; this is how tasks reach each other."""

    ingress: mailbox.Mailbox
    forwarding: mailbox.Mailbox
    searchers: mailbox.Mailbox
    discovery: mailbox.Mailbox
    store: mailbox.Mailbox
    lifecycle: mailbox.Mailbox


def make_boxes(
    reactor: interfaces.IReactorTime,
    on_error: Callable[[Exception, Any], None],
) -> GatewayBoxes:
    """Return a mailbox for each task."""
    made = {
        field.name: mailbox.make_mailbox(reactor, on_error)
        for field in dataclasses.fields(GatewayBoxes)
    }
    return GatewayBoxes(**made)
