"""The unused tokens of one customer at this node."""

import collections

from gypsumbridge_decisions.quotas import grant as grants


class GrantsInHand:
    """Grants, oldest first, and when tokens were used."""

    def __init__(self) -> None:
        self.grants: collections.deque[grants.Grant] = collections.deque()
        self.used_ms: collections.deque[int] = collections.deque()

    def add(self, grant: grants.Grant) -> None:
        """Add a grant of one token or more."""
        self.grants.append(grant)

    def use(self, now_ms: int) -> bool:
        """Use one token, and return whether there was a valid one."""
        while self.grants:
            grant = self.grants.popleft()
            if not grant.is_valid(now_ms):
                continue
            if grant.tokens > 1:
                rest = grants.Grant(grant.tokens - 1, grant.expires_ms)
                self.grants.appendleft(rest)
            self.used_ms.append(now_ms)
            return True
        return False

    def count_used(self, within_ms: int, now_ms: int) -> int:
        """Return how many tokens were used in the last `within_ms`."""
        while self.used_ms and self.used_ms[0] <= now_ms - within_ms:
            self.used_ms.popleft()
        return len(self.used_ms)
