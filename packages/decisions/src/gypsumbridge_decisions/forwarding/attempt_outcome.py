"""How an attempt at a searcher ended."""

import enum


class AttemptOutcome(enum.StrEnum):
    """What is known of the request at the searcher.

    `ANSWERED` has a complete response. `NOT_RUN` is the searcher's own
    statement that it did not run the request. `NOT_SENT` means that no
    byte of it left this node. With `MISDIRECTED` another searcher has the
    address, and has not run it either. `LOST` may have run.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    NOT_SENT = 'not_sent'
    MISDIRECTED = 'misdirected'
    LOST = 'lost'

    def is_unrun(self) -> bool:
        """Return whether it is certain that the request was not run."""
        return self in (
            AttemptOutcome.NOT_RUN,
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.MISDIRECTED,
        )
