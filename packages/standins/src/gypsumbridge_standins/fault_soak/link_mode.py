"""What a link does to the bytes that pass."""

import enum


class LinkMode(enum.Enum):
    """Ways in which a link treats its connections."""

    PASS = 'pass'
    DELAY = 'delay'
    # Open connections are reset, new ones too.
    RESET = 'reset'
    # Open connections lose all bytes for good, new ones work.
    SILENCE = 'silence'
    # Bytes of one direction are lost, on open and new connections.
    CUT_REQUESTS = 'cut_requests'
    CUT_RESPONSES = 'cut_responses'
