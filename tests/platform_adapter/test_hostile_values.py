"""Values that no correct process writes, for all decoders of the platform."""

import base64
import copy
import math
import unittest

import hypothesis
from hypothesis import strategies as st
import msgspec

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import relaying
from gypsumbridge_platform import routes
from gypsumbridge_platform import searchers
from gypsumbridge_platform import store_calls
from gypsumbridge_wire import addresses
from gypsumbridge_wire import holders
from gypsumbridge_wire import relay
from tests.platform_adapter import test_decoding
from tests.wire import hostile
from tests.wire import test_relay

CONFIG = {**test_decoding.CONFIG, 'tenants': [test_decoding.CUSTOMER]}
MAX_COUNT = 2**53
MAX_SLOTS = 65_535
ODD = st.one_of(
    st.sampled_from(
        [
            None,
            True,
            '',
            '\x00',
            'x' * 5_000,
            '127.1:0',
            '10.0.0.1:99999',
            '10.0.0.1:٣',
            0,
            -1,
            -0.5,
            0.5,
            1e308,
            65_536,
            2**53 + 1,
            2**64,
            10**400,
            [],
            {},
        ]
    ),
    hostile.JSON,
)


@st.composite
def with_one_odd_value(draw, original):
    """Return a value in which one part, at any depth, is odd or missing."""
    changed = copy.deepcopy(original)
    place = changed
    while True:
        if isinstance(place, dict):
            key = draw(st.sampled_from(sorted(place)))
        else:
            key = draw(st.integers(0, len(place) - 1))
        inner = place[key]
        deeper = isinstance(inner, dict | list) and inner
        if deeper and draw(st.integers(0, 9)):
            place = inner
            continue
        if isinstance(place, dict) and draw(st.integers(0, 4)) == 0:
            del place[key]
        else:
            place[key] = draw(ODD)
        return changed


def encode(value):
    """Return JSON; Python's encoder writes numbers of any length."""
    return test_decoding.encode(value)


def decode(decoder, data):
    """Return a decoded value, or None after the typed error."""
    try:
        return decoder(data)
    except errors.FrameError:
        return None


class HostileValuesTest(unittest.TestCase):
    def assert_count(self, value, low=0, high=MAX_COUNT):
        self.assertIsInstance(value, int)
        self.assertTrue(low <= value <= high, value)

    @hostile.SETTINGS
    @hypothesis.given(
        st.one_of(
            with_one_odd_value(test_decoding.ENTRY).map(encode),
            hostile.JSON.map(encode),
            hostile.mutated(st.just(encode(test_decoding.ENTRY))),
        )
    )
    def test_entries_of_searchers(self, data):
        """Guards against an odd entry that ends the reading of the list."""
        found = decode(lambda v: searchers.decode_searcher('i-1', v), data)
        if found is None:
            return
        self.assertTrue(
            addresses.is_address(f'{found.address}:{found.port}'), found
        )
        self.assert_count(found.slots, 1, MAX_SLOTS)
        self.assert_count(found.incarnation)
        self.assertIsInstance(found.draining, bool)

    @hostile.SETTINGS
    @hypothesis.given(
        st.one_of(
            with_one_odd_value(CONFIG).map(encode),
            hostile.JSON.map(encode),
            hostile.mutated(st.just(encode(CONFIG))),
        )
    )
    def test_configurations(self, data):
        """Guards against limits and times that end a timer or a loop."""
        table = decode(routes.decode_routes, data)
        if table is None:
            return
        self.assert_count(table.version)
        limits = table.limits
        self.assert_count(limits.max_header_bytes)
        self.assert_count(limits.max_body_bytes)
        self.assert_count(limits.header_timeout_ms, 1)
        self.assert_count(limits.idle_timeout_ms, 1)
        for limit in table.connection_limits.values():
            self.assert_count(limit)
        if table.customers is not None:
            self.check_customers(table.customers)
        for by_prefix in table.routes.values():
            for route in by_prefix.values():
                self.check_route(route)

    def check_customers(self, table):
        for name, customer in table.customers.items():
            self.assertEqual(name, customer.name)
            self.assertTrue(name.isascii() and name.isprintable())
            self.assertTrue(0 <= customer.rate_per_s < math.inf)
            self.assertTrue(0 <= customer.burst < math.inf)
            if customer.rank is not None:
                self.assert_count(customer.rank)
        self.assertLessEqual(
            set(table.names_by_digest.values()), set(table.customers)
        )

    def check_route(self, route):
        self.assertIs(bool, type(route.public))
        self.assert_count(route.timeout_ms)
        self.assert_count(route.objective_ms)
        self.assert_count(route.rank)
        self.assert_count(route.max_attempts)
        self.assertTrue(route.targets)
        for target in route.targets:
            self.assertTrue(0 <= target.weight < math.inf)
        if route.gather is not None:
            self.assert_count(route.gather.top_k)
            self.assertTrue(0 <= route.gather.min_coverage <= 1)
            return
        self.assertGreater(sum(t.weight for t in route.targets), 0)
        split = forwarding.Split(route.targets)
        self.assertIn(split.next_service(), [t.service for t in route.targets])

    @hostile.SETTINGS
    @hypothesis.given(
        st.one_of(
            with_one_odd_value(
                msgspec.to_builtins(
                    relaying.PeerNode(
                        'n1', '10.0.0.1:7380', 'd1', 65.0, '10.0.0.1:7381'
                    )
                )
            ).map(encode),
            hostile.JSON.map(encode),
        )
    )
    def test_entries_of_nodes(self, data):
        """Guards against a node that all others poll without an answer."""
        found = decode(lambda v: relay.decode_node('n1', v), data)
        if found is None:
            return
        for address in (found.address, found.gather_address):
            self.assertTrue(not address or addresses.is_address(address))
        self.assertTrue(0 <= found.capacity <= MAX_COUNT, found)

    @hostile.SETTINGS
    @hypothesis.given(
        with_one_odd_value(
            {
                'items': [
                    {'key': 'a', 'revision': 6, 'value': 'eA=='},
                    {'key': 'b', 'revision': 7, 'value': ''},
                ],
                'events': [
                    {'key': 'a', 'revision': 6, 'value': 'eA=='},
                    {'key': 'b', 'revision': 7, 'deleted': True},
                ],
                'hasMore': True,
                'storeRevision': 7,
            }
        ).map(encode)
    )
    def test_pages_and_changes(self, data):
        """Guards against an answer of the store that ends the loop."""
        page = decode(store_calls.decode_list, data)
        changes = decode(store_calls.decode_watch, data)
        for found, revision in (
            (page, page and page.revision),
            (changes, changes and changes.revision),
        ):
            if found is None:
                continue
            self.assert_count(revision)
            for record in found.records:
                self.check_record(record)

    @hostile.SETTINGS
    @hypothesis.given(hostile.messages_of(relaying.RelayedUpdates))
    def test_updates_of_relays(self, updates):
        """Guards against an age or a revision that no relay can have."""
        try:
            data = relay.encode_updates(updates)
        except OverflowError:
            return
        found = decode(relay.decode_updates, data)
        if found is None:
            return
        self.assert_count(found.revision)
        self.assert_count(found.age_ms)
        for record in found.records:
            self.check_record(record)

    def check_record(self, record):
        self.assertIsInstance(record, relaying.StoreRecord)
        self.assert_count(record.revision)
        self.assertIsInstance(record.key, str)
        self.assertTrue(record.value is None or type(record.value) is bytes)

    def test_an_odd_value_leaves_the_rest_of_a_list(self):
        """Guards against one entry that hides the others."""
        odd = [b'[' * 200_000, b'{"slots": ' + b'9' * 400 + b'}', b'\xff', b'']
        values = [encode(test_decoding.ENTRY), *odd]
        items = [
            {
                'key': f'servers/i-{number}',
                'revision': number + 1,
                'value': base64.b64encode(value).decode(),
            }
            for number, value in enumerate(values)
        ]
        page = store_calls.decode_list(
            encode({'items': items, 'hasMore': False, 'storeRevision': 9})
        )
        sent = relaying.RelayedUpdates(9, page.records, True, True, 0)
        passed_on = relay.decode_updates(relay.encode_updates(sent)).records
        for records in (page.records, passed_on):
            state = discovery.make_discovery_state(
                relaying.make_relay_state(test_relay.NODE, 10),
                discovery.StoreSchema(
                    'op/config',
                    'servers/',
                    'nodes/',
                    routes.decode_routes,
                    searchers.decode_searcher,
                    relay.decode_node,
                    'quotas/',
                    holders.decode_holder,
                ),
                3_000,
            )
            listed = discovery.StoreListed(9, records)
            discovery.handle(state, listed, 0)
            self.assertEqual({'i-0'}, set(state.searchers))


if __name__ == '__main__':
    unittest.main()
