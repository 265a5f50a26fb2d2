"""When a caller may repeat a request that was refused."""

from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.routing import rendezvous

# Another node can probably serve the request.
OTHER_NODE_MS = 50
# Searchers whose entries expired write them again within this time.
RECOVERY_MS = 2_000
# A caller that is told to wait for longer may have no time left to be served.
MAX_SHARE_OF_TIME_LEFT = 1 / 3
# Callers that were refused together come back over this share of the delay.
SPREAD = 0.25


def recovery_delay_ms(
    request: caller_request.CallerRequest, left_ms: int
) -> int:
    """Return a delay after which searchers may have been registered again.

    No node can serve the request now, so an early repeat would be refused
    as well. `left_ms` is the time until the caller's deadline.
    """
    longest_ms = min(RECOVERY_MS, left_ms * MAX_SHARE_OF_TIME_LEFT)
    position = (
        rendezvous.weight(request.request_id, '') / rendezvous.HASH_RANGE
    )
    return max(OTHER_NODE_MS, int(longest_ms * (1 - SPREAD * position)))
