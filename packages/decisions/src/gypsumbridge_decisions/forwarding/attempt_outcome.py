"""How an attempt at a searcher ended."""

import enum


class AttemptOutcome(enum.StrEnum):
    """Whether the searcher has run the request.

    `ANSWERED` has a complete response. With `NOT_RUN` the searcher stated
    that it did not run the request. With `NOT_SENT` no byte of it left this
    node. With `MISDIRECTED` another searcher has the address and did not
    run it. With `LOST` the request may have run.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    NOT_SENT = 'not_sent'
    MISDIRECTED = 'misdirected'
    LOST = 'lost'

    def is_certainly_not_run(self) -> bool:
        """Return whether it is certain that the request was not run."""
        return self in (
            AttemptOutcome.NOT_RUN,
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.MISDIRECTED,
        )
