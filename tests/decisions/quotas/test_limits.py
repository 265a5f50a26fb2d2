import unittest

import hypothesis
from hypothesis import strategies as st

from gypsumbridge_decisions import quotas

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


def make_policy(window_ms=5_000, overshoot=0.1, slack=20.0, partitions=5):
    return quotas.QuotaPolicy(
        'n', 'd', window_ms, overshoot, slack, partitions, 30_000
    )


class LimitsTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        st.floats(0, 10_000),
        st.floats(0, 10_000),
        st.integers(100, 60_000),
        st.floats(0, 2),
        st.floats(0, 200),
        st.integers(1, 20),
    )
    def test_what_is_granted_in_a_window_and_a_lifetime_is_within_the_bound(
        self, rate_per_s, burst, window_ms, overshoot, slack, partitions
    ):
        """Guards against limits that exceed the quota for some settings."""
        quota = quotas.Quota(rate_per_s, burst)
        policy = make_policy(window_ms, overshoot, slack, partitions)
        limits = quotas.derive_limits(quota, policy)
        granted_ms = window_ms + limits.lifetime_ms
        per_partition = (
            limits.capacity
            + limits.rate_per_ms * granted_ms
            + 3 * limits.bonus
        )
        bound = quotas.window_bound(quota, policy)
        total = limits.partitions * per_partition
        self.assertLessEqual(total, bound * (1 + 1e-9) + 1e-9)
        # Else a fourth process could get its bonus within that time.
        self.assertLess(granted_ms, 3 * limits.bonus_after_ms)

    def test_the_usual_limits(self):
        """Guards against a formula that differs from the description."""
        limits = quotas.derive_limits(quotas.Quota(4, 2), make_policy())
        self.assertEqual(5, limits.partitions)
        self.assertAlmostEqual(0.0008, limits.rate_per_ms)
        self.assertAlmostEqual(2.88, limits.capacity)
        self.assertAlmostEqual(0.6, limits.bonus)
        self.assertEqual(200, limits.lifetime_ms)
        self.assertEqual(1_734, limits.bonus_after_ms)

    def test_a_small_quota_uses_fewer_partitions(self):
        """Guards against buckets that never hold a whole token."""
        policy = make_policy(slack=5)
        limits = quotas.derive_limits(quotas.Quota(1, 1), policy)
        self.assertEqual(4, limits.partitions)
        self.assertAlmostEqual(4.15 / 4, limits.capacity)

    def test_a_low_rate_has_the_longest_lifetime(self):
        """Guards against tokens that a node keeps from the others."""
        limits = quotas.derive_limits(quotas.Quota(0.01, 5), make_policy())
        self.assertEqual(200, limits.lifetime_ms)

    def test_without_overshoot_the_rate_is_lowered(self):
        """Guards against a grant that has expired when it arrives."""
        policy = make_policy(overshoot=0)
        limits = quotas.derive_limits(quotas.Quota(10, 0), policy)
        self.assertEqual(100, limits.lifetime_ms)
        self.assertAlmostEqual(
            50 / 5_100, limits.rate_per_ms * limits.partitions
        )
