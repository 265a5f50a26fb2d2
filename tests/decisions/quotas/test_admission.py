from gypsumbridge_decisions import messages
from gypsumbridge_decisions import quotas
from tests.decisions.quotas import quota_case

ADMITTED = quota_case.ADMITTED
OVER_QUOTA = quota_case.OVER_QUOTA
UNKNOWN = quota_case.UNKNOWN
LIFETIME_MS = 200


class AdmissionTest(quota_case.QuotaCase):
    def answer_all(self, commands, **fields):
        """Answer each partition alike until there are results."""
        partitions = []
        while not self.results(commands):
            partitions.append(self.asked(commands).request.partition)
            commands = self.reply(commands, **fields)
        return partitions, commands

    def test_a_request_waits_for_one_round_trip(self):
        """Guards against a refusal within the limit."""
        commands = self.request()
        asked = self.asked(commands)
        self.assertEqual(('c', 1), (asked.request.customer, 1))
        self.assertEqual(60, asked.timeout_ms)
        commands = self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        self.assertEqual([ADMITTED], self.outcomes(commands))

    def test_a_short_deadline_leaves_time_for_the_other_holders(self):
        """Guards against one silent holder that costs the whole deadline."""
        self.assertEqual(15, self.asked(self.request(left_ms=90)).timeout_ms)

    def test_tokens_in_hand_are_used_before_they_expire(self):
        """Guards against tokens used beyond the lifetime after their grant."""
        commands = self.request()
        asked_ms = self.now_ms
        self.now_ms += 30
        self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        commands = self.request()
        self.assertEqual(2, self.asked(commands).request.tokens)
        commands = self.reply(commands, tokens=2, lifetime_ms=LIFETIME_MS)
        self.now_ms = asked_ms + 30 + LIFETIME_MS - 1
        self.assertEqual([ADMITTED], self.outcomes(self.request()))
        commands = self.request()
        self.reply(commands, tokens=9, lifetime_ms=LIFETIME_MS)
        self.now_ms += LIFETIME_MS
        self.assertEqual([], self.outcomes(self.request()))

    def test_the_lifetime_counts_from_the_request(self):
        """Guards against a slow reply that lengthens a token's life."""
        commands = self.request()
        self.now_ms += LIFETIME_MS
        commands = self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        self.assertEqual([], self.outcomes(commands))

    def test_a_node_asks_for_what_it_needs_and_used(self):
        """Guards against a node that keeps tokens from the others."""
        first = self.request()
        for _ in range(3):
            self.assertEqual([], self.request())
        commands = self.reply(first, tokens=1, lifetime_ms=LIFETIME_MS)
        self.assertEqual([ADMITTED], self.outcomes(commands))
        # Three wait, and one was used in the last lifetime.
        self.assertEqual(4, self.asked(commands).request.tokens)
        self.reply(commands, tokens=3, lifetime_ms=LIFETIME_MS)
        self.now_ms += LIFETIME_MS
        self.assertEqual(1, self.asked(self.request()).request.tokens)

    def test_the_last_giver_is_asked_first(self):
        """Guards against a round trip to each empty partition."""
        commands = self.request()
        first = self.asked(commands).request.partition
        commands = self.reply(commands, retry_after_ms=100)
        second = self.asked(commands).request.partition
        self.assertNotEqual(first, second)
        self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        self.now_ms += 200
        commands = self.request()
        self.assertEqual(second, self.asked(commands).request.partition)

    def test_a_customer_over_its_limit_is_told_when_to_come_back(self):
        """Guards against callers that repeat too early, or all at once."""
        commands = self.request(left_ms=9_000)
        partitions, commands = self.answer_all(commands, retry_after_ms=400)
        self.assertEqual({0, 1, 2, 3, 4}, set(partitions))
        result = self.results(commands)[0]
        self.assertEqual(OVER_QUOTA, result.outcome)
        self.assertTrue(400 <= result.retry_after_ms <= 500)
        self.assertIn(('quota_refused', 'no_tokens'), self.logged(commands))
        self.now_ms += 399
        again = self.results(self.request(left_ms=90))[0]
        self.assertEqual(OVER_QUOTA, again.outcome)
        self.now_ms += 1
        self.asked(self.request())

    def test_a_holder_that_gives_fewer_tokens_is_empty(self):
        """Guards against a request over the limit that is sent to another
        node, and against a second request to a bucket without tokens.
        """
        first = self.request()
        self.request()
        self.request()
        commands = self.reply(first, tokens=1, lifetime_ms=LIFETIME_MS)
        self.assertEqual([ADMITTED], self.outcomes(commands))
        commands = self.reply(
            commands, tokens=1, lifetime_ms=LIFETIME_MS, retry_after_ms=200
        )
        self.assertEqual([ADMITTED], self.outcomes(commands))
        rest = [self.asked(commands)]
        _, commands = self.answer_all(rest, retry_after_ms=400)
        self.assertEqual([OVER_QUOTA], self.outcomes(commands))
        after_ms = self.results(commands)[0].retry_after_ms
        self.assertTrue(200 <= after_ms <= 250)

    def test_a_holder_that_gives_all_is_asked_again_for_later_requests(self):
        """Guards against a refusal while the first holder has tokens."""
        commands = self.request()
        first = self.asked(commands).request.partition
        self.request()
        commands = self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        self.assertEqual(first, self.asked(commands).request.partition)
        # Tokens that have expired on the way prove nothing.
        commands = self.reply(commands, tokens=9, lifetime_ms=0)
        self.assertNotEqual(first, self.asked(commands).request.partition)

    def test_the_delay_is_at_most_a_third_of_the_time_left(self):
        """Guards against a caller that gives up."""
        _, commands = self.answer_all(self.request(), retry_after_ms=5_000)
        self.assertEqual(300, self.results(commands)[0].retry_after_ms)

    def test_a_silent_holder_makes_the_quota_unknown(self):
        """Guards against a refusal as over the limit while a partition may
        have tokens.
        """
        commands = self.miss(self.request())
        _, commands = self.answer_all(commands, retry_after_ms=400)
        result = self.results(commands)[0]
        self.assertEqual(
            (UNKNOWN, 50), (result.outcome, result.retry_after_ms)
        )

    def test_a_silent_holder_is_asked_less_and_less_often(self):
        """Guards against the timeout of a lost holder in each request."""
        commands = self.request()
        first = self.asked(commands).request.partition
        commands = self.miss(commands)
        self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        for back_off_ms in (1_000, 2_000, 4_000, 8_000, 8_000):
            self.assertTrue(self.state.back_off.is_active(first, self.now_ms))
            self.now_ms += back_off_ms - 1
            self.assertTrue(self.state.back_off.is_active(first, self.now_ms))
            self.now_ms += 1
            self.assertFalse(self.state.back_off.is_active(first, self.now_ms))
            self.state.back_off.record_failure(first, self.now_ms)

    def test_a_node_that_is_cut_off_refuses_soon(self):
        """Guards against the timeouts of all holders in each request, and
        against a node that does not notice when it is reachable again.
        """
        commands = self.request()
        for _ in range(5):
            commands = self.miss(commands)
        self.assertEqual([UNKNOWN], self.outcomes(commands))
        commands = self.request()
        self.asked(commands)
        self.assertEqual([UNKNOWN], self.outcomes(self.miss(commands)))
        commands = self.request()
        commands = self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        self.assertEqual([ADMITTED], self.outcomes(commands))

    def test_a_holder_that_cannot_tell_is_left_alone(self):
        """Guards against requests to a holder that waits for its turn."""
        for refusal, counted in (
            ('waiting', 'waiting'),
            ('stale_proof', 'stale_proof'),
            ('not_holder', 'not_holder'),
            ('no such reason', 'other'),
        ):
            with self.subTest(refusal):
                self.start()
                commands = self.request()
                first = self.asked(commands).request.partition
                commands = self.reply(commands, refusal=refusal)
                count = messages.Count(f'quotas.ask_failed.{counted}')
                self.assertIn(count, commands)
                second = self.asked(commands).request.partition
                self.assertNotEqual(first, second)
                self.assertTrue(
                    self.state.back_off.is_active(first, self.now_ms)
                )

    def test_a_holder_with_an_older_version_is_asked_again_soon(self):
        """Guards against refusals of a new customer for longer than it takes
        to apply a configuration.
        """
        commands = self.request()
        _, commands = self.answer_all(commands, refusal='unknown_customer')
        self.assertEqual([UNKNOWN], self.outcomes(commands))
        self.now_ms += 1_000
        self.asked(self.request())

    def test_wrong_replies_give_nothing(self):
        """Guards against negative and huge numbers from another node."""
        commands = self.request()
        commands = self.reply(commands, tokens=-4, lifetime_ms=LIFETIME_MS)
        commands = self.reply(commands, tokens=1, lifetime_ms=-1)
        self.assertEqual([], self.outcomes(commands))
        commands = self.reply(commands, tokens=2**70, lifetime_ms=2**70)
        self.assertEqual([ADMITTED], self.outcomes(commands))
        self.assertEqual([], list(self.state.demands['c'].grants.grants))
        self.start()
        _, commands = self.answer_all(
            self.request(left_ms=2**40), retry_after_ms=2**70
        )
        after_ms = self.results(commands)[0].retry_after_ms
        self.assertLessEqual(after_ms, 12_500)
        self.start()
        _, commands = self.answer_all(self.request(), retry_after_ms=-9)
        self.assertEqual(1, self.results(commands)[0].retry_after_ms)

    def test_a_holders_lifetime_is_not_believed_beyond_the_own(self):
        """Guards against tokens that a wrong reply makes valid for ever."""
        self.reply(self.request(), tokens=1, lifetime_ms=LIFETIME_MS)
        self.reply(self.request(), tokens=2, lifetime_ms=2**70)
        self.now_ms += LIFETIME_MS
        self.assertEqual([], self.outcomes(self.request()))

    def test_a_holder_that_answers_again_is_trusted_again(self):
        """Guards against a back-off that only grows."""
        commands = self.request()
        first = self.asked(commands).request.partition
        self.reply(self.miss(commands), tokens=1, lifetime_ms=LIFETIME_MS)
        self.state.demands['c'].last_giver = first
        self.now_ms += 1_000
        self.reply(self.request(), tokens=1, lifetime_ms=LIFETIME_MS)
        self.now_ms += 1_000
        self.miss(self.request())
        self.now_ms += 1_000
        self.assertFalse(self.state.back_off.is_active(first, self.now_ms))

    def test_a_new_holder_is_asked_at_once(self):
        """Guards against a back-off and a stated time that were those of the
        former holder.
        """
        commands = self.request()
        lost = self.asked(commands).request.partition
        commands = self.miss(commands)
        empty = self.asked(commands).request.partition
        self.reply(commands, retry_after_ms=9_000)
        for partition in (lost, empty):
            self.hold(partition, 'n2', claim=3)
        self.copy()
        self.assertFalse(self.state.back_off.is_active(lost, self.now_ms))
        self.assertNotIn(empty, self.state.demands['c'].empty_until_ms)

    def test_the_failure_of_a_former_holder_does_not_count(self):
        """Guards against a new holder that is left alone."""
        commands = self.request()
        first = self.asked(commands).request.partition
        self.hold(first, 'n2', claim=3)
        self.copy()
        self.miss(commands)
        self.assertFalse(self.state.back_off.is_active(first, self.now_ms))

    def test_a_partition_that_was_empty_in_the_round_counts_as_empty(self):
        """Guards against a request over the limit that is sent to another
        node because the first stated time has passed by the last reply.
        """
        commands = self.request()
        while not self.results(commands):
            self.now_ms += 5
            commands = self.reply(commands, retry_after_ms=1)
        self.assertEqual([OVER_QUOTA], self.outcomes(commands))

    def test_a_holder_that_does_not_know_a_customer_is_passed_over(self):
        """Guards against a round trip for each request of a new customer."""
        commands = self.request()
        first = self.asked(commands).request.partition
        commands = self.reply(commands, refusal='unknown_customer')
        self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        self.state.demands['c'].last_giver = first
        asked = self.asked(self.request()).request.partition
        self.assertNotEqual(first, asked)

    def test_a_late_reply_is_ignored(self):
        """Guards against the reply to a request that has timed out."""
        commands = self.request()
        asked = self.asked(commands)
        self.miss(commands)
        reply = quotas.GrantReply(1, LIFETIME_MS)
        late = quotas.HolderAnswered(asked.ask_id, reply)
        self.assertEqual([], self.handle(late))

    def test_a_partition_of_this_node_is_served_at_once(self):
        """Guards against a call of the node to itself."""
        for partition in range(5):
            self.hold(partition, 'n2')
        self.start()
        self.wait(30_000)
        self.assertEqual([ADMITTED], self.outcomes(self.request()))

    def test_a_partition_without_a_holder_is_passed_over(self):
        """Guards against a wait for a node that does not exist."""
        for partition in range(5):
            self.hold(partition, 'gone')
        self.copy()
        self.assertEqual([UNKNOWN], self.outcomes(self.request()))

    def test_a_cancelled_request_takes_no_token(self):
        """Guards against tokens and memory of callers that have left."""
        commands = self.request()
        self.request()
        self.handle(quotas.AdmissionCancelled(1))
        commands = self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        self.assertEqual([2], [r.call_id for r in self.results(commands)])
        self.assertEqual([], self.handle(quotas.AdmissionCancelled(1)))
        self.assertEqual({}, self.state.waiting)

    def test_the_tokens_of_a_cancelled_request_serve_the_next(self):
        """Guards against a grant that is thrown away."""
        commands = self.request()
        self.handle(quotas.AdmissionCancelled(1))
        self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        self.assertEqual([ADMITTED], self.outcomes(self.request()))

    def test_waiting_requests_are_bounded(self):
        """Guards against memory without bound while no holder answers."""
        first = self.request()
        for _ in range(999):
            self.assertEqual([], self.request())
        commands = self.request()
        self.assertEqual([UNKNOWN], self.outcomes(commands))
        self.assertIn(('quota_refused', 'queue_full'), self.logged(commands))
        commands = self.reply(first, tokens=1, lifetime_ms=LIFETIME_MS)
        self.assertEqual(1_000, self.asked(commands).request.tokens)
        commands = self.reply(commands, tokens=999, lifetime_ms=LIFETIME_MS)
        self.assertEqual([ADMITTED] * 999, self.outcomes(commands))

    def test_refused_requests_are_all_counted_and_seldom_logged(self):
        """Guards against a log that grows with the load."""
        _, commands = self.answer_all(self.request(), retry_after_ms=9_000)
        for _ in range(500):
            commands += self.request()
        self.assertEqual(1, len(self.logged(commands)))
        counted = messages.Count('quotas.refused.over_quota')
        self.assertEqual(501, commands.count(counted))
        self.now_ms += 5_000
        line = [c for c in self.request() if isinstance(c, messages.Decision)]
        self.assertEqual(500, line[0].fields['suppressed'])

    def test_customers_without_a_limit_ask_nobody(self):
        """Guards against a cost for customers that have no quota."""
        self.assertEqual([ADMITTED], self.outcomes(self.request('free')))

    def test_an_unknown_customer_is_sent_to_another_node(self):
        """Guards against a node that does not know a new customer yet."""
        self.assertEqual([UNKNOWN], self.outcomes(self.request('new')))

    def test_a_limit_that_ends_admits_what_waits(self):
        """Guards against requests that wait for a quota that is gone."""
        self.request()
        limits = {'c': quotas.Quota(0, 0)}
        commands = self.handle(quotas.QuotasChanged(2, limits))
        self.assertEqual([ADMITTED], self.outcomes(commands))
        self.request('free')

    def test_a_customer_that_is_removed_ends_what_waits(self):
        """Guards against requests that wait without end."""
        commands = self.request()
        more = self.handle(quotas.QuotasChanged(2, {}))
        self.assertEqual([UNKNOWN], self.outcomes(more))
        self.reply(commands, tokens=1, lifetime_ms=LIFETIME_MS)
        self.assertEqual({}, self.state.waiting)

    def test_a_raised_limit_is_asked_for_at_once(self):
        """Guards against a wait that was stated for the old limit."""
        self.answer_all(self.request(), retry_after_ms=9_000)
        self.handle(quotas.QuotasChanged(2, {'c': quotas.Quota(50, 50)}))
        self.asked(self.request())

    def test_the_log_limiter_forgets(self):
        """Guards against memory that grows with the customers refused."""
        limiter = quotas.LogLimiter()
        for number in range(5_000):
            limiter.admit((f'c{number}', 'no_tokens'), 0)
        self.assertLessEqual(len(limiter.logged_ms), 1_000)
