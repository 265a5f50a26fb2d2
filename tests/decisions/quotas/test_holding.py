from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import quotas
from tests.decisions.quotas import quota_case


class HoldingTest(quota_case.QuotaCase):
    def hold_from_start(self, claim=2):
        self.hold(0, 'n2', claim)
        self.start()

    def test_a_restarted_holder_goes_on_with_an_empty_bucket(self):
        """Guards against a missing partition, and against a second burst,
        after a holder was killed.
        """
        self.hold_from_start()
        reply = self.ask(0)
        self.assertEqual(('', 0), (reply.refusal, reply.tokens))
        self.wait(reply.retry_after_ms)
        self.assertEqual(quotas.GrantReply(1, 200, 483), self.ask(0, 5))

    def test_refused_requests_are_told_different_moments(self):
        """Guards against callers that were refused together and come back
        together.
        """
        self.hold_from_start()
        self.handle(quotas.QuotasChanged(2, {'c': quotas.Quota(40, 12)}))
        self.wait(60_000)
        self.assertEqual(7, self.ask(0, 9).tokens)
        # 0.24 of 7.24 tokens are left, and a token takes 125 ms. No promise
        # is moved to more than 1 s ahead.
        expected = [95, 220, 345, 470, 595, 720, 845, 970, 1_000, 1_000]
        for expected_ms in expected:
            told_ms = self.ask(0).retry_after_ms
            self.assertAlmostEqual(expected_ms, told_ms, delta=1)

    def test_a_holder_that_restarts_during_its_wait_waits_again(self):
        """Guards against two holders when a node that has just taken over
        restarts while the former holder is cut off.
        """
        self.hold_from_start(claim=3)
        self.assertEqual('waiting', self.ask(0).refusal)
        self.wait(quota_case.WAIT_MS - 1)
        self.assertEqual('waiting', self.ask(0).refusal)
        self.wait(1_000)
        self.assertEqual('', self.ask(0).refusal)

    def test_a_new_holder_waits_for_a_proof_from_after_its_wait(self):
        """Guards against two holders after a restore that this node has not
        seen, since the former holder goes on in the new era.
        """
        self.hold(0, 'n2', claim=3)
        self.copy()
        self.wait(quota_case.WAIT_MS - 1)
        self.now_ms += 5_000
        self.confirm(age_ms=5_000)
        self.assertEqual('waiting', self.ask(0).refusal)
        commands = self.confirm(age_ms=4_999)
        self.assertIn(('partition_held', 'waited'), self.logged(commands))
        self.assertEqual('', self.ask(0).refusal)

    def test_the_end_of_the_wait_is_written(self):
        """Guards against a needless wait after a restart."""
        self.hold(0, 'n2', claim=3)
        self.copy()
        records = self.writes(self.wait(quota_case.WAIT_MS + 1_000))
        own = quotas.HolderRecord(0, 'n2', 4, self.revision)
        self.assertEqual([own], [r for r in records if not r.partition])

    def test_a_paused_holder_checks_its_proof_when_it_wakes(self):
        """Guards against grants of a holder that was suspended while another
        node took over.
        """
        self.hold_from_start()
        self.now_ms += quota_case.TTL_MS - 1
        self.assertEqual('', self.ask(0).refusal)
        self.now_ms += 1
        self.assertEqual('stale_proof', self.ask(0).refusal)
        commands = self.handle(quotas.QuotaTimer())
        lost = ('partition_lost', 'proof_expired')
        self.assertIn(lost, self.logged(commands))
        self.confirm()
        self.assertEqual('', self.ask(0).refusal)

    def test_the_age_of_a_relays_copy_counts(self):
        """Guards against a proof that is younger than the store's answer."""
        self.hold(0, 'n2')
        self.start()
        self.now_ms += 20_000
        self.confirm(age_ms=19_000)
        self.now_ms += quota_case.TTL_MS - 19_000
        self.assertEqual('stale_proof', self.ask(0).refusal)

    def test_a_proof_from_the_future_is_not_believed(self):
        """Guards against a right that lasts longer than a holder's term."""
        self.hold_from_start()
        self.confirm(age_ms=-500_000)
        self.now_ms += quota_case.TTL_MS
        self.assertEqual('stale_proof', self.ask(0).refusal)

    def test_a_holder_stops_when_another_node_has_taken_over(self):
        """Guards against two holders after a takeover."""
        self.hold_from_start()
        self.hold(0, 'n1', claim=3)
        commands = self.copy()
        lost = ('partition_lost', 'other_holder')
        self.assertIn(lost, self.logged(commands))
        self.assertEqual('not_holder', self.ask(0).refusal)

    def test_an_older_copy_brings_no_partition_back(self):
        """Guards against a late report from before a takeover."""
        self.hold_from_start()
        before = dict(self.holders)
        self.hold(0, 'n1', claim=3)
        self.copy()
        self.holders = before
        self.copy()
        self.assertEqual('not_holder', self.ask(0).refusal)

    def test_a_node_that_is_not_the_holder_says_so(self):
        """Guards against grants by a node with an outdated view."""
        self.assertEqual('not_holder', self.ask(0).refusal)
        self.assertEqual('other_partition', self.ask(-1).refusal)
        self.assertEqual('other_partition', self.ask(99).refusal)

    def test_a_holder_that_does_not_know_the_customer_says_so(self):
        """Guards against a refusal as over the limit by an older version."""
        self.hold_from_start()
        refusal = self.ask(0, customer='new').refusal
        self.assertEqual('unknown_customer', refusal)
        refusal = self.ask(0, customer='free').refusal
        self.assertEqual('unknown_customer', refusal)

    def test_odd_requests_take_no_tokens(self):
        """Guards against hostile numbers in a request."""
        self.hold_from_start()
        self.wait(60_000)
        self.assertEqual(quotas.GrantReply(), self.ask(0, -3))
        self.assertEqual(5, self.ask(0, 2**70).tokens)

    def test_a_removed_entry_ends_the_right(self):
        """Guards against a holder that nobody else can see."""
        self.hold_from_start()
        del self.holders[0]
        commands = self.copy()
        lost = ('partition_lost', 'entry_missing')
        self.assertIn(lost, self.logged(commands))
        self.assertEqual('not_holder', self.ask(0).refusal)

    def test_a_lower_limit_binds_at_once(self):
        """Guards against a burst by the old limit."""
        self.hold_from_start()
        self.wait(60_000)
        self.assertEqual(1, self.ask(0, 1).tokens)
        lower = {'c': quotas.Quota(1, 0)}
        self.handle(quotas.QuotasChanged(2, lower))
        self.assertEqual(2, self.ask(0, 9).tokens)

    def test_an_older_version_of_the_quotas_is_ignored(self):
        """Guards against a limit that comes back with an old copy."""
        lower = {'c': quotas.Quota(1, 0)}
        self.handle(quotas.QuotasChanged(3, lower))
        for version in (2, 3):
            higher = {'c': quotas.Quota(90, 90)}
            self.handle(quotas.QuotasChanged(version, higher))
            self.assertEqual(lower, self.state.quotas)

    def test_a_partition_that_comes_back_begins_empty(self):
        """Guards against tokens from before a takeover, which the holder in
        between has granted as well.
        """
        self.hold_from_start()
        self.wait(60_000)
        self.assertEqual(1, self.ask(0, 1).tokens)
        self.hold(0, 'n1', claim=3)
        self.copy()
        self.hold(0, 'n2', claim=5)
        self.copy()
        self.wait(quota_case.WAIT_MS)
        self.assertEqual(0, self.ask(0, 9).tokens)

    def test_a_probe_needs_no_customer(self):
        """Guards against a takeover from a holder without customers."""
        self.hold_from_start()
        self.assertEqual(quotas.GrantReply(), self.ask(0, 0, customer=''))

    def test_a_copy_that_was_never_proven_has_no_missing_entries(self):
        """Guards against a holder that waits after a restart, since its first
        copy of the store was too old to have its entry.
        """
        entries, self.holders = self.holders, {}
        self.state = quotas.make_quota_state(self.state.policy)
        self.copy(age_ms=2**53)
        self.holders = entries
        self.hold(0, 'n2')
        self.copy()
        self.assertEqual('', self.ask(0, 0).refusal)

    def test_an_older_proof_does_not_shorten_the_right(self):
        """Guards against a relay with an older copy."""
        self.hold_from_start()
        held = self.state.partitions[0].holding
        older = quotas.confirm(held, 'n2', self.now_ms - 500, self.now_ms)
        self.assertEqual(held, older)

    def test_a_customer_that_comes_back_finds_its_bucket_as_it_was(self):
        """Guards against a second burst by removing and adding a customer."""
        self.hold_from_start()
        self.wait(60_000)
        self.assertEqual(5, self.ask(0, 9).tokens)
        limits = self.state.quotas
        self.handle(quotas.QuotasChanged(2, {}))
        self.handle(quotas.QuotasChanged(3, limits))
        self.assertEqual(0, self.ask(0, 9).tokens)


class EraTest(quota_case.QuotaCase):
    def setUp(self):
        super().setUp()
        self.hold(0, 'n2')
        self.start()

    def test_an_entitled_holder_goes_on_if_the_new_copy_names_it(self):
        """Guards against a pause of all quotas by a restored store."""
        self.restore(p0='n2')
        commands = self.copy()
        changed = ('quota_era_changed', 'store_restored')
        self.assertIn(changed, self.logged(commands))
        self.assertEqual('', self.ask(0).refusal)

    def test_a_holder_with_an_expired_proof_waits_in_a_new_era(self):
        """Guards against a second holder whose takeover the store lost."""
        self.now_ms += quota_case.TTL_MS
        self.restore(p0='n2')
        self.copy()
        self.assertEqual('waiting', self.ask(0).refusal)
        self.wait(quota_case.WAIT_MS)
        self.assertEqual('', self.ask(0).refusal)

    def test_another_node_that_the_new_copy_names_waits(self):
        """Guards against a right from before a takeover that was lost."""
        self.hold(0, 'n1', claim=5)
        self.copy()
        self.restore(p0='n2')
        self.copy()
        self.assertEqual('waiting', self.ask(0).refusal)

    def test_an_entry_that_the_store_has_lost_is_written_again(self):
        """Guards against a partition that a restored store leaves empty."""
        self.restore()
        self.copy()
        self.assertEqual('', self.ask(0).refusal)
        commands = self.handle(quotas.QuotaTimer())
        again = quotas.HolderRecord(0, 'n2', 3, 0, 1)
        self.assertEqual([again], self.writes(commands))
        self.hold(0, 'n2', claim=3)
        self.copy()
        self.assertEqual('', self.ask(0).refusal)
        self.wait(60_000)
        self.assertEqual('', self.ask(0).refusal)

    def test_an_entry_of_the_old_era_does_not_count(self):
        """Guards against entries that are kept for a time after a restore and
        would be taken for entries of the store.
        """
        kept = dict(self.holders)
        self.restore(p1='n3')
        self.holders = {**kept, **self.holders}
        self.copy()
        commands = self.handle(quotas.QuotaTimer())
        self.assertEqual([0], [r.partition for r in self.writes(commands)])

    def test_a_lost_entry_gives_no_right_beyond_the_old_proof(self):
        """Guards against a holder that goes on without an entry."""
        self.restore()
        self.copy()
        self.wait(quota_case.TTL_MS)
        self.assertEqual('stale_proof', self.ask(0).refusal)

    def test_an_entry_that_is_written_too_late_means_a_wait(self):
        """Guards against a holder whose late write is applied after its right
        has ended and another node may have begun.
        """
        self.restore()
        self.copy()
        self.wait(quota_case.TTL_MS)
        self.hold(0, 'n2', claim=3)
        self.copy()
        self.assertEqual('waiting', self.ask(0).refusal)

    def test_entries_from_before_a_new_era_are_missing(self):
        """Guards against a copy of the old era that a proof of the new one
        would confirm.
        """
        self.era = 1
        self.confirm()
        self.wait(quota_case.TTL_MS)
        self.assertEqual('stale_proof', self.ask(0).refusal)

    def test_a_holder_stops_when_another_node_writes_first(self):
        """Guards against two holders after a restore."""
        self.restore()
        self.copy()
        self.hold(0, 'n1', claim=3)
        self.copy()
        self.assertEqual('not_holder', self.ask(0).refusal)

    def test_a_late_proof_from_the_old_era_is_dropped(self):
        """Guards against a right that a late answer extends."""
        self.restore(p0='n2')
        self.copy()
        self.now_ms += quota_case.TTL_MS
        self.handle(forwarding.CopyConfirmed(self.now_ms, self.now_ms, 0))
        self.assertEqual('stale_proof', self.ask(0).refusal)


class FirstStartTest(quota_case.QuotaCase):
    first_start = True

    def setUp(self):
        super().setUp()
        self.holders = {}
        self.start()

    def take_over(self):
        """Return the first entry that this node writes."""
        return self.writes(self.wait(3_000))[0]

    def test_the_first_holder_begins_with_a_full_bucket(self):
        """Guards against refusals for seconds at a first start."""
        record = self.take_over()
        self.hold(record.partition, 'n2', record.claim)
        commands = self.copy()
        self.assertIn(('partition_held', 'first_start'), self.logged(commands))
        self.assertEqual(5, self.ask(record.partition, 9).tokens)

    def test_a_restart_during_the_first_start_begins_empty(self):
        """Guards against a burst from each process of a crash loop."""
        record = self.take_over()
        self.hold(record.partition, 'n2', record.claim)
        self.start()
        self.assertEqual(0, self.ask(record.partition, 9).tokens)

    def test_an_entry_of_another_writer_is_no_first_start(self):
        """Guards against a full bucket after another process has granted."""
        record = self.take_over()
        written = quotas.HolderWritten(record.partition, 0, True)
        commands = self.handle(written)
        conflict = ('holder_conflict', 'entry_changed')
        self.assertIn(conflict, self.logged(commands))
        self.hold(record.partition, 'n1', record.claim)
        self.copy()
        self.hold(record.partition, 'n2', record.claim)
        self.copy()
        self.assertEqual('waiting', self.ask(record.partition).refusal)

    def test_a_conflict_with_the_own_entry_is_a_first_start(self):
        """Guards against a wait of 31 s at the first start because the answer
        to a write was lost and the write was made again.
        """
        record = self.take_over()
        self.handle(quotas.HolderWritten(record.partition, 0))
        self.assertEqual(record, self.take_over())
        self.handle(quotas.HolderWritten(record.partition, 0, True))
        self.hold(record.partition, 'n2', record.claim)
        self.copy()
        self.assertEqual(5, self.ask(record.partition, 9).tokens)

    def test_a_removed_entry_is_no_first_start(self):
        """Guards against a full bucket while the former holder may grant."""
        self.hold(0, 'n1')
        self.copy()
        del self.holders[0]
        self.copy()
        records = [r for r in self.writes(self.wait(6_000)) if not r.partition]
        self.assertFalse(quotas.is_settled(records[0]))

    def test_an_unreadable_entry_is_no_missing_one(self):
        """Guards against a full bucket after an entry that names nobody."""
        self.hold(0, '', claim=0)
        self.copy()
        record = self.writes(self.wait(3_000))[0]
        self.assertEqual(
            (0, self.revision), (record.partition, record.revision)
        )
        self.assertFalse(quotas.is_settled(record))

    def test_a_lost_entry_in_a_new_era_is_no_first_start(self):
        """Guards against full buckets after a restore, as the settings still
        say that the system starts for the first time.
        """
        self.restore()
        self.copy()
        record = self.take_over()
        self.assertFalse(quotas.is_settled(record))


class LaterStartTest(quota_case.QuotaCase):
    def test_without_the_setting_a_missing_entry_means_a_wait(self):
        """Guards against a full bucket after the store has lost its data."""
        self.holders = {}
        self.start()
        record = self.writes(self.wait(3_000))[0]
        self.hold(record.partition, 'n2', record.claim)
        self.copy()
        self.assertEqual('waiting', self.ask(record.partition).refusal)


class SmallSlackTest(quota_case.QuotaCase):
    slack = 2.0

    def test_a_quota_that_is_divided_anew_begins_empty(self):
        """Guards against partitions whose shares add up to more than the
        quota while their number changes.
        """
        self.hold(0, 'n2')
        self.start()
        self.wait(60_000)
        self.assertEqual(1, self.ask(0, 1).tokens)
        # The capacity of 1.4 is that of one partition.
        self.handle(quotas.QuotasChanged(2, {'c': quotas.Quota(1, 0)}))
        self.handle(quotas.QuotasChanged(3, {'c': quotas.Quota(4, 12)}))
        self.assertEqual(0, self.ask(0, 9).tokens)
        self.wait(60_000)
        self.assertEqual(3, self.ask(0, 9).tokens)
