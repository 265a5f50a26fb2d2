"""A request body that is written at once."""

from typing import Any

from twisted.internet import defer
from twisted.web import iweb
from zope import interface


@interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes a small body in one piece.

    The library's own producer reads a file in turns of the reactor, which
    sends headers and body apart and costs a timer for each request.
    """

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Any:  # noqa: N802
        """Write the body and finish."""
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the body has been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the body has been written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the body has been written."""
