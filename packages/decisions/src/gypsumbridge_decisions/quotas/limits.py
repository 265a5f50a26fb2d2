"""Limits of a customer's buckets, derived from its quota and the policy.

The tokens used in a window of W were granted within it or up to one lifetime
L before. The partitions grant at most B + 0.4 S + R (W + L) in that time, and
0.2 S for each of at most three processes in a row, which together is no more
than the allowed (R W + B) (1 + o) + S.
"""

from gypsumbridge_decisions.quotas import customer_limits
from gypsumbridge_decisions.quotas import quota as quotas
from gypsumbridge_decisions.quotas import quota_policy

# The share of the slack that buckets hold in addition to the burst.
CAPACITY_SLACK = 0.4
# The share of the slack that each new process of a holder gets. Three
# processes in a row can get it within a window and a lifetime.
BONUS_SLACK = 0.2
# A node that crashes or is cut off takes its unused tokens with it, which no
# other node can use before they expire.
MAX_LIFETIME_MS = 2_000
# A shorter grant may have expired when it arrives.
MIN_LIFETIME_MS = 100
# A lifetime of half a window or more would allow a fourth process its bonus.
MAX_LIFETIME_SHARE = 0.45
# The moment at which a bucket counts as full is outside of the window and
# lifetime that begin with it.
FULL_MARGIN_MS = 1


def is_limited(quota: quotas.Quota) -> bool:
    """Return whether a quota limits anything."""
    return quota.rate_per_s > 0 or quota.burst > 0


def derive_limits(
    quota: quotas.Quota, policy: quota_policy.QuotaPolicy
) -> customer_limits.CustomerLimits:
    """Return the limits of a customer's bucket in each of its partitions."""
    lifetime_ms = grant_lifetime_ms(quota, policy)
    slack = policy.slack
    capacity = quota.burst + CAPACITY_SLACK * slack
    count = max(1, min(policy.partitions, int(capacity)))
    return customer_limits.CustomerLimits(
        partitions=count,
        rate_per_ms=total_rate_per_s(quota, policy) / 1_000 / count,
        capacity=capacity / count,
        bonus=BONUS_SLACK * slack / count,
        bonus_after_ms=(policy.window_ms + 1) // 2,
        full_after_ms=policy.window_ms + lifetime_ms + FULL_MARGIN_MS,
        lifetime_ms=lifetime_ms,
    )


def grant_lifetime_ms(
    quota: quotas.Quota, policy: quota_policy.QuotaPolicy
) -> int:
    """Return for how long the tokens of a quota may be used."""
    longest_ms = min(
        MAX_LIFETIME_MS, int(policy.window_ms * MAX_LIFETIME_SHARE)
    )
    if quota.rate_per_s <= 0:
        return longest_ms
    allowed = policy.overshoot * window_quota(quota, policy)
    # The limit is compared first, as the quotient may be infinite.
    if allowed * 1_000 >= longest_ms * quota.rate_per_s:
        return longest_ms
    return max(MIN_LIFETIME_MS, int(allowed * 1_000 / quota.rate_per_s))


def total_rate_per_s(
    quota: quotas.Quota, policy: quota_policy.QuotaPolicy
) -> float:
    """Return the rate of all buckets of a quota together.

    It is below the quota's rate where the overshoot does not cover the
    tokens that are granted during one lifetime.
    """
    granted_ms = policy.window_ms + grant_lifetime_ms(quota, policy)
    allowed = window_quota(quota, policy) * (1 + policy.overshoot)
    bound = (allowed - quota.burst) * 1_000 / granted_ms
    return min(quota.rate_per_s, bound)


def window_quota(
    quota: quotas.Quota, policy: quota_policy.QuotaPolicy
) -> float:
    """Return the requests of a quota in one window."""
    return quota.rate_per_s * policy.window_ms / 1_000 + quota.burst


def window_bound(
    quota: quotas.Quota, policy: quota_policy.QuotaPolicy
) -> float:
    """Return the requests that may be used in one window, over all nodes."""
    return window_quota(quota, policy) * (1 + policy.overshoot) + policy.slack
