import unittest

import hypothesis
from hypothesis import strategies as st

from gypsumbridge_decisions import quotas

POLICY = quotas.QuotaPolicy('n', 'd', 5_000, 0.1, 20.0, 5, 30_000)
LIMITS = quotas.derive_limits(quotas.Quota(4, 2), POLICY)
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
# Times at which the additions to a new bucket are due are drawn often.
GAPS = st.one_of(
    st.integers(0, 9_000),
    st.sampled_from((0, 1, 1_733, 1_734, 1_735, 5_200, 5_201, 5_202)),
)


class TokenBucketTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        st.floats(0, 50),
        st.floats(0, 50),
        st.floats(0, 40),
        st.booleans(),
        st.lists(
            st.tuples(GAPS, st.sampled_from(('take', 'take', 'restart'))),
            max_size=60,
        ),
    )
    def test_restarts_exceed_no_window(
        self, rate_per_s, burst, slack, first_start, steps
    ):
        """Guards against processes in a row that together grant more than
        one bucket may, whenever they restart and tokens are taken.
        """
        policy = quotas.QuotaPolicy('n', 'd', 5_000, 0.1, slack, 1, 30_000)
        quota = quotas.Quota(rate_per_s, burst)
        limits = quotas.derive_limits(quota, policy)
        bucket = quotas.TokenBucket(limits, 0, first_start)
        now_ms = 0
        granted = []
        for gap_ms, action in steps:
            now_ms += gap_ms
            if action == 'restart':
                bucket = quotas.TokenBucket(limits, now_ms, False)
                continue
            granted.append((now_ms, bucket.take(10_000, now_ms)))
        span_ms = policy.window_ms + limits.lifetime_ms
        bound = quotas.window_bound(quota, policy)
        for last_ms, _ in granted:
            total = sum(
                tokens
                for at_ms, tokens in granted
                if last_ms - span_ms < at_ms <= last_ms
            )
            self.assertLessEqual(total, bound + 1e-6)

    @SETTINGS
    @hypothesis.given(
        st.tuples(st.floats(0, 200), st.floats(0, 1_000)),
        st.tuples(st.floats(0, 200), st.floats(0, 1_000)),
        st.floats(0, 40),
        st.floats(0.04, 0.2),
        st.integers(0, 5_199),
    )
    def test_a_changed_limit_exceeds_no_window_of_the_larger_one(
        self, before, after, slack, overshoot, change_ms
    ):
        """Guards against a change of the limit that adds the capacity of one
        limit to the rate of another. The overshoot of a window is at least
        200 ms, the longest lifetime.
        """
        policy = quotas.QuotaPolicy(
            'n', 'd', 5_000, overshoot, slack, 1, 30_000
        )
        first, second = (
            quotas.derive_limits(quotas.Quota(*values), policy)
            for values in (before, after)
        )
        bucket = quotas.TokenBucket(first, 0, True)
        granted = 0
        for now_ms in sorted((change_ms, *range(0, 5_200, 100), 5_199)):
            if bucket.limits is first and now_ms >= change_ms:
                granted += bucket.take(10_000, now_ms)
                bucket.resize(second, now_ms)
            granted += bucket.take(10_000, now_ms)
        larger = quotas.Quota(*map(max, before, after))
        bound = quotas.window_bound(larger, policy)
        self.assertLessEqual(granted, bound + 1e-6)

    def test_the_worst_sequence_of_restarts_meets_the_bound(self):
        """Guards against additions to new buckets that are too large: a full
        bucket and three processes that get their bonus in one window.
        """
        policy = quotas.QuotaPolicy('n', 'd', 5_000, 0.1, 100.0, 1, 30_000)
        # The first bucket is full just before its bonus is due: a third of
        # 5.2 s at this rate gives 173 tokens, and the capacity is 140.
        quota = quotas.Quota(100, 50)
        limits = quotas.derive_limits(quota, policy)
        span_ms = policy.window_ms + limits.lifetime_ms
        first_ms = limits.bonus_after_ms - 1
        granted = 0
        bucket = quotas.TokenBucket(limits, 0, False)
        for now_ms in range(first_ms, first_ms + span_ms):
            granted += bucket.take(10_000, now_ms)
            if now_ms - bucket.begin_ms == limits.bonus_after_ms:
                bucket = quotas.TokenBucket(limits, now_ms, False)
        bound = quotas.window_bound(quota, policy)
        self.assertLessEqual(granted, bound)
        self.assertGreater(granted, bound - 3)

    def test_a_restarted_holder_begins_empty(self):
        """Guards against a burst from each process of a crash loop."""
        bucket = quotas.TokenBucket(LIMITS, 1_000, False)
        self.assertEqual(0, bucket.take(1, 1_000))
        self.assertEqual(1_251, bucket.next_token_ms(1_000))
        self.assertEqual(1, bucket.take(5, 2_251))

    def test_it_gets_the_bonus_and_later_counts_as_full(self):
        """Guards against a partition that is short for long after a restart,
        which refuses customers within their quota.
        """
        limits = quotas.derive_limits(quotas.Quota(0.05, 8), POLICY)
        bucket = quotas.TokenBucket(limits, 0, False)
        self.assertEqual(0, bucket.take(9, 1_733))
        self.assertEqual(1, bucket.next_token_ms(1_733))
        bucket.advance(1_734)
        self.assertAlmostEqual(0.61734, bucket.level)
        bucket.advance(limits.full_after_ms - 1)
        self.assertLess(bucket.level, 1)
        self.assertEqual(3, bucket.take(9, limits.full_after_ms))

    def test_what_was_granted_does_not_count_as_full(self):
        """Guards against a second use of the bonus in a later window."""
        policy = quotas.QuotaPolicy('n', 'd', 5_000, 0.1, 20.0, 1, 30_000)
        limits = quotas.derive_limits(quotas.Quota(0.01, 8), policy)
        bucket = quotas.TokenBucket(limits, 0, False)
        self.assertEqual(3, bucket.take(99, 1_734))
        self.assertEqual(16, bucket.take(99, limits.full_after_ms))

    def test_a_lower_limit_cuts_the_level(self):
        """Guards against a burst by the old limit after it was lowered."""
        limits = quotas.derive_limits(quotas.Quota(4, 12), POLICY)
        bucket = quotas.TokenBucket(limits, 0, True)
        lower = quotas.derive_limits(quotas.Quota(1, 0), POLICY)
        bucket.resize(lower, 10)
        self.assertEqual(2, bucket.take(9, 10))

    def test_a_bucket_without_a_rate_never_gains(self):
        """Guards against a division by a rate of 0."""
        limits = quotas.derive_limits(quotas.Quota(0, 2), POLICY)
        bucket = quotas.TokenBucket(limits, 0, True)
        self.assertEqual(2, bucket.take(9, 0))
        self.assertEqual(quotas.NEVER_MS, bucket.next_token_ms(50))

    def test_refused_callers_come_back_one_after_the_other(self):
        """Guards against callers that are told the same moment, so that one
        that was refused later gets the token of an earlier one.

        The customer sends 30 requests a second, 7.5 times its limit.
        """
        policy = quotas.QuotaPolicy('n', 'd', 5_000, 0.1, 20.0, 1, 30_000)
        limits = quotas.derive_limits(quotas.Quota(4, 2), policy)
        bucket = quotas.TokenBucket(limits, 0, True)
        bucket.take(99, 0)
        # Times, with the order of the callers, who come back once.
        calls = [(n * 1_000 // 30 + 1, n, False) for n in range(90)]
        promised = []
        served = []
        while calls:
            calls.sort()
            now_ms, number, is_back = calls.pop(0)
            if bucket.take(1, now_ms):
                served += [number] * is_back
            elif not is_back:
                delay_ms = bucket.promise_ms(now_ms)
                self.assertLessEqual(delay_ms, 1_000)
                promised.append(now_ms + delay_ms)
                calls.append((now_ms + delay_ms, number, True))
        # 14 of 14.4 tokens are taken, and each token takes 250 ms.
        due = (150, 400, 650, 900)
        for due_ms, told_ms in zip(due, promised[:4], strict=True):
            self.assertAlmostEqual(due_ms, told_ms, delta=1)
        self.assertEqual(len(promised), len(set(promised)))
        self.assertEqual(promised, sorted(promised))
        self.assertEqual([0, 1, 2, 3], served[:4])
        self.assertEqual(served, sorted(served))

    def test_a_promise_is_never_before_the_next_token(self):
        """Guards against callers that come back in vain at a low rate, or
        to a bucket without one.
        """
        for rate_per_s in (0, 1e-310, 0.1):
            quota = quotas.Quota(rate_per_s, 2)
            limits = quotas.derive_limits(quota, POLICY)
            bucket = quotas.TokenBucket(limits, 0, True)
            bucket.take(99, 0)
            due_ms = bucket.next_token_ms(0)
            self.assertGreater(due_ms, 1_000)
            for _ in range(3):
                self.assertEqual(due_ms, bucket.promise_ms(0))

    def test_odd_numbers_of_tokens_take_nothing(self):
        """Guards against a request that returns tokens to a bucket."""
        bucket = quotas.TokenBucket(LIMITS, 0, True)
        self.assertEqual(0, bucket.take(-5, 0))
        self.assertEqual(2, bucket.take(2**80, 0))
