"""When refused requests may come back."""

from gypsumbridge_decisions.routing import rendezvous

# A caller that is told to wait for longer may have no time left to be served.
MAX_SHARE_OF_TIME_LEFT = 1 / 3
MIN_DELAY_MS = 50
# Callers whose delay is cut come back over this share of it.
SPREAD = 0.25


class ReturnTimes:
    """Gives refused requests of a service times in the order of refusal."""

    def __init__(self) -> None:
        self.last_ms = 0.0

    def next_delay_ms(
        self,
        request_id: str,
        room_ms: float,
        pace_ms: float,
        left_ms: int,
        now_ms: int,
    ) -> int:
        """Return a delay after which the service is expected to have room.

        `room_ms` is the time until then, `pace_ms` that between two requests
        at the service's rate, and `left_ms` until the caller's deadline.
        """
        at_ms = max(now_ms + room_ms, self.last_ms + pace_ms)
        longest_ms = left_ms * MAX_SHARE_OF_TIME_LEFT
        delay_ms = min(at_ms - now_ms, longest_ms)
        if delay_ms < longest_ms:
            self.last_ms = at_ms
        position = rendezvous.weight(request_id, '') / rendezvous.HASH_RANGE
        if delay_ms >= longest_ms:
            # In a longer overload all delays are cut, and the order is kept
            # only between requests that were refused further apart than this.
            delay_ms *= 1 - SPREAD * position
        return int(min(max(MIN_DELAY_MS, delay_ms), longest_ms))
