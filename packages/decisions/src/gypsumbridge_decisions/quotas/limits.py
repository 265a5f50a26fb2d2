"""Limits of a customer's buckets, derived from its quota and the policy.

The tokens used in a window of W were granted within it or up to one lifetime
L before. The partitions grant at most C + R (W + L) in that time, with C the
capacity of all buckets, and 0.15 S for each of at most three processes in a
row. C is what remains of the allowed (R W + B) (1 + o) + S.
"""

from gypsumbridge_decisions.quotas import customer_limits
from gypsumbridge_decisions.quotas import quota as quotas
from gypsumbridge_decisions.quotas import quota_policy

# The share of the slack that each new process of a holder gets. It is a whole
# token for each of three partitions where the slack is 20 requests.
BONUS_SLACK = 0.15
# Processes in a row that can get it within a window and a lifetime.
MAX_BONUSES = 3
# The share of the slack that buckets hold in addition to the burst.
CAPACITY_SLACK = 1.0 - MAX_BONUSES * BONUS_SLACK
# The longer a grant lives, the smaller the buckets are. A request for tokens
# takes a few milliseconds, so that little is gained by keeping them.
MAX_LIFETIME_MS = 200
# A shorter grant may have expired when it arrives.
MIN_LIFETIME_MS = 100
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
    granted_ms = policy.window_ms + lifetime_ms
    capacity = total_capacity(quota, policy)
    count = max(1, min(policy.partitions, int(capacity)))
    return customer_limits.CustomerLimits(
        partitions=count,
        rate_per_ms=total_rate_per_s(quota, policy) / 1_000 / count,
        capacity=capacity / count,
        bonus=BONUS_SLACK * policy.slack / count,
        bonus_after_ms=granted_ms // MAX_BONUSES + 1,
        full_after_ms=granted_ms + FULL_MARGIN_MS,
        lifetime_ms=lifetime_ms,
    )


def total_capacity(
    quota: quotas.Quota, policy: quota_policy.QuotaPolicy
) -> float:
    """Return the capacity of all buckets of a quota together.

    It includes the part of the overshoot that the tokens granted during one
    lifetime do not need.
    """
    in_lifetime = quota.rate_per_s * grant_lifetime_ms(quota, policy) / 1_000
    unused = policy.overshoot * window_quota(quota, policy) - in_lifetime
    return quota.burst + CAPACITY_SLACK * policy.slack + max(0.0, unused)


def grant_lifetime_ms(
    quota: quotas.Quota, policy: quota_policy.QuotaPolicy
) -> int:
    """Return for how long the tokens of a quota may be used."""
    if quota.rate_per_s <= 0:
        return MAX_LIFETIME_MS
    allowed = policy.overshoot * window_quota(quota, policy)
    # The limit is compared first, as the quotient may be infinite.
    if allowed * 1_000 >= MAX_LIFETIME_MS * quota.rate_per_s:
        return MAX_LIFETIME_MS
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
