"""How a link treats the bytes that it forwards."""

import enum


class LinkMode(enum.Enum):
    """Fault modes of a link; PASS is none."""

    PASS = 'pass'
    DELAY = 'delay'
    # Open and new connections are reset.
    RESET = 'reset'
    # Open connections lose all bytes from now on, new ones work.
    SILENCE = 'silence'
    # Bytes of one direction are lost, on open and new connections.
    CUT_REQUESTS = 'cut_requests'
    CUT_RESPONSES = 'cut_responses'
