import unittest

from gypsumbridge_decisions import forwarding


class SearcherHealthTest(unittest.TestCase):
    def setUp(self):
        self.health = forwarding.SearcherHealth()
        self.now_ms = 100_000

    def answer(self, slowness, gap_ms):
        self.now_ms += gap_ms
        self.health.record_answer(slowness, self.now_ms)

    def slowness_after(self, gap_ms):
        self.health.decay(self.now_ms + gap_ms)
        return self.health.slowness

    def test_a_rarely_used_searcher_is_still_rated_slow(self):
        """Guards against slowness that decays before the next request.

        In a large fleet each node uses a searcher only every few seconds;
        by the next request the slowness must still exceed the cost of a
        searcher in another failure domain.
        """
        for _ in range(3):
            self.answer(1.0, 2_800)
        self.answer(6.0, 2_800)
        self.assertGreater(self.slowness_after(2_800), 2.5)

    def test_one_slow_sample_among_many_does_not_exclude_a_searcher(self):
        """Guards against a single pause that moves all traffic away."""
        for _ in range(20):
            self.answer(1.0, 150)
        self.answer(6.0, 150)
        self.assertLess(self.slowness_after(150), 2.5)

    def test_a_searcher_that_recovered_is_used_again(self):
        """Guards against an exclusion that outlasts its cause."""
        for gap_ms, wait_ms in ((150, 9_000), (2_800, 30_000)):
            with self.subTest(gap_ms=gap_ms):
                self.setUp()
                for _ in range(20):
                    self.answer(6.0, gap_ms)
                self.assertLess(self.slowness_after(wait_ms), 1.4)
