"""A request body that is written in one piece."""

from typing import Any

from twisted.internet import defer
from twisted.web import iweb
from zope import interface


@interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes a small body in one piece.

    Twisted's own producer reads a file over several iterations of the
    reactor, which sends headers and body in separate packets and needs a
    timer for each request.
    """

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Any:  # noqa: N802
        """Write the whole body."""
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body has been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body has been written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body has been written."""
