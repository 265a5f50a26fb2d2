import base64
import json
import unittest

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import relaying
from gypsumbridge_platform import routes
from gypsumbridge_platform import searchers
from gypsumbridge_platform import store_calls

DEPTH = 50_000
ENTRY = {
    'backend': 's1',
    'address': '10.1.2.3:8080',
    'zone': 'd1',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'warmupLeftMs': 0,
    'sequence': 4,
    'born': 1_700_000_000_000,
}
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r1',
            'hostname': 'A.example',
            'prefix': '/all/',
            'routeType': 'safe',
            'timeoutMs': 300,
            'targetLatencyMs': 56,
            'priority': 0,
            'gather': ['s1', 's2'],
            'maxAttempts': 2,
            'topK': 5,
            'minCoverage': 0.75,
        },
        {
            'name': 'r2',
            'hostname': 'a.example',
            'prefix': '/once/',
            'routeType': 'unsafe',
            'timeoutMs': 2_000,
            'targetLatencyMs': 800,
            'priority': 2,
            'trafficSplit': [
                {'backend': 's1', 'weight': 3},
                {'backend': 's2', 'weight': 1},
            ],
            'maxAttempts': 1,
        },
    ],
    'backends': [
        {'name': 's1', 'healthPath': '/h', 'maxConnections': 26},
        {'name': 's2', 'healthPath': '/h', 'maxConnections': 35},
    ],
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 262_144,
        'headerTimeoutMs': 3_000,
        'idleTimeoutMs': 15_000,
    },
}


CUSTOMER = {
    'name': 'gold',
    'apiKeys': ['key-1', 'key-2', 'key-1'],
    'priority': 1,
    'ratePerS': 2.5,
    'burst': 10,
    'allowedRegions': ['r1', 'r2'],
}
ODD_LIMITS = (-1, -0.5, '5', None, True, [], 10**400, float('nan'))
ODD_FIELDS = {
    'name': ('', ' ', 'a\r\nX: y', 'a\n', 'a\x00', 'a\u0434', 'a ', 'x' * 999),
    'apiKeys': ('key-1', [5], None),
    'priority': (-1, 0.5, 'high', None, True),
    'ratePerS': ODD_LIMITS,
    'burst': ODD_LIMITS,
    'allowedRegions': ('r1', [1], None),
}


def encode(value):
    return json.dumps(value).encode()


class SearcherTest(unittest.TestCase):
    def decode(self, **changes):
        entry = {**ENTRY, **changes}
        entry = {k: v for k, v in entry.items() if v is not None}
        return searchers.decode_searcher('i-1', encode(entry))

    def test_an_entry_decodes_to_a_searcher(self):
        """Guards against exchanged fields."""
        searcher = self.decode(state='draining')
        self.assertEqual(('10.1.2.3', 8080), (searcher.address, searcher.port))
        self.assertEqual(
            ('s1', 'd1', 2),
            (searcher.service, searcher.failure_domain, searcher.slots),
        )
        self.assertTrue(searcher.draining)
        self.assertEqual(1_700_000_000_000, searcher.incarnation)

    def test_a_heartbeat_does_not_change_the_searcher(self):
        """Guards against an update for an entry that did not change."""
        self.assertEqual(self.decode(sequence=4), self.decode(sequence=9))

    def test_invalid_entries_are_refused(self):
        """Guards against using entries in another format."""
        cases = (
            {'state': 'resting'},
            {'state': None},
            {'backend': None},
            {'backend': 5},
            {'address': 'host:80'},
            {'address': '10.1.2.3'},
            {'address': '10.1.2.3:0'},
            {'address': '10.1.2.3:x'},
            {'slots': 'two'},
            {'slots': 0},
            {'slots': 10**30},
            {'address': '10.1.2.3:99999'},
            {'address': '10.1.2.3:' + '9' * 5_000},
            {'address': '10.1.2.3:8_0'},
            {'born': -1},
            {'born': 10**400},
            {'zone': None},
        )
        for changes in cases:
            with self.subTest(changes=changes):
                with self.assertRaises(errors.FrameError):
                    self.decode(**changes)
        for value in (b'', b'\xff\xfe', b'[]', b'null'):
            with self.subTest(value=value):
                with self.assertRaises(errors.FrameError):
                    searchers.decode_searcher('i-1', value)

    def test_every_field_of_the_page_is_required(self):
        """Guards against an entry that no searcher has written (review/5)."""
        for field in ENTRY.keys() - {'born'}:
            for value in (
                None,
                [],
                {},
                True,
                'x' if field != 'version' else 1,
            ):
                if field == 'backend' and value == 'x':
                    continue
                if field == 'zone' and value == 'x':
                    continue
                with self.subTest(field=field, value=value):
                    with self.assertRaises(errors.FrameError):
                        self.decode(**{field: value})

    def test_the_time_of_the_start_may_be_missing(self):
        """Guards against refusing the searchers of a whole deployment."""
        self.assertEqual(0, self.decode(born=None).incarnation)

    def test_deeply_nested_values_are_refused(self):
        """Guards against an exception that ends the loop over the store."""
        nested = (b'[' * DEPTH + b']' * DEPTH, b'{"a":' * DEPTH, b'[' * DEPTH)
        for value in nested:
            entry = encode(ENTRY)[:-1] + b', "extra": ' + value + b'}'
            with self.subTest(value=value[:10], size=len(value)):
                with self.assertRaises(errors.FrameError):
                    searchers.decode_searcher('i-1', entry)
                with self.assertRaises(errors.FrameError):
                    routes.decode_routes(b'{"extra": ' + value + b'}')

    def test_an_id_that_no_header_can_carry_is_refused(self):
        """Guards against a searcher to which no request can be encoded."""
        for searcher_id in ('', 'i 1', 'i\r\nX: y', 'i-\u0434', 'i-\x7f'):
            with self.subTest(searcher_id=searcher_id):
                with self.assertRaises(errors.FrameError):
                    searchers.decode_searcher(searcher_id, encode(ENTRY))


class RoutesTest(unittest.TestCase):
    def test_a_configuration_decodes_to_a_route_table(self):
        """Guards against fields that are lost or changed in decoding."""
        table = routes.decode_routes(encode(CONFIG))
        self.assertEqual(7, table.version)
        self.assertEqual({'s1': 26, 's2': 35}, table.connection_limits)
        gathered = table.routes['a.example']['/all/']
        self.assertTrue(gathered.idempotent)
        self.assertEqual(
            (5, 0.75), (gathered.gather.top_k, gathered.gather.min_coverage)
        )
        split = table.routes['a.example']['/once/']
        self.assertFalse(split.idempotent)
        self.assertEqual([3, 1], [t.weight for t in split.targets])
        self.assertEqual(3_000, table.limits.header_timeout_ms)

    def test_an_invalid_configuration_is_refused(self):
        """Guards against putting only a part of the routes into force."""
        broken = json.loads(json.dumps(CONFIG))
        del broken['routes'][0]['gather']
        for value in (b'{', b'', b'{}', encode(broken)):
            with self.subTest(value=value[:20]):
                with self.assertRaises(errors.FrameError):
                    routes.decode_routes(value)


class CustomersTest(unittest.TestCase):
    def decode(self, customers, **route):
        config = json.loads(json.dumps(CONFIG))
        config['routes'][0].update(route)
        return routes.decode_routes(encode({**config, 'tenants': customers}))

    def test_customers_decode_with_keys_and_limits(self):
        """Guards against exchanged limits, and a key of two customers."""
        basic = {'name': 'basic', 'apiKeys': ['key-1'], 'allowedRegions': []}
        table = self.decode(
            [CUSTOMER, basic], public=True, allowedRegions=['r']
        )
        gold = forwarding.Customer('gold', 1, 2.5, 10.0, ('r1', 'r2'))
        self.assertEqual(
            {'gold': gold, 'basic': forwarding.Customer('basic')},
            table.customers.customers,
        )
        for key, expected in (('key-1', None), ('key-2', gold)):
            digest = forwarding.digest_keys((key,))
            self.assertEqual(expected, table.customers.find(digest))
        by_prefix = table.routes['a.example']
        for prefix, expected in (
            ('/all/', (True, ('r',))),
            ('/once/', (False, ())),
        ):
            route = by_prefix[prefix]
            self.assertEqual(expected, (route.public, route.homes))

    def test_an_empty_list_differs_from_no_list(self):
        """Guards against serving everyone once the last customer left."""
        self.assertIsNone(routes.decode_routes(encode(CONFIG)).customers)
        self.assertEqual({}, self.decode([]).customers.customers)

    def test_unreadable_customers_leave_the_configuration_in_force(self):
        """Guards against a limit that silently becomes none."""
        odd = [
            {**CUSTOMER, field: value}
            for field, values in ODD_FIELDS.items()
            for value in values
        ]
        several = (None, {}, [None], [CUSTOMER, CUSTOMER])
        for customers in (*([customer] for customer in odd), *several):
            with self.subTest(customers=customers):
                with self.assertRaises(errors.FrameError) as caught:
                    self.decode(customers)
                self.assertNotIn('key-1', str(caught.exception))
        for value in (None, 0, 'yes'):
            with self.assertRaises(errors.FrameError):
                self.decode([CUSTOMER], public=value)


class StoreCallsTest(unittest.TestCase):
    def test_pages_follow_the_last_key(self):
        """Guards against a list that ends after its first page."""
        body = {
            'items': [
                {'key': 'a/b', 'value': 'eA==', 'revision': 3, 'created': 1},
                {'key': 'a/c', 'value': '*', 'revision': 4, 'created': 1},
            ],
            'hasMore': True,
            'storeRevision': 9,
        }
        page = store_calls.decode_list(encode(body))
        self.assertEqual((9, 'a/c'), (page.revision, page.next_after))
        self.assertEqual([b'x', b''], [r.value for r in page.records])
        request = store_calls.encode_list('a/c&d', False)
        self.assertIn('after=a%2Fc%26d', request.target)

    def test_a_watch_distinguishes_deletions_from_writes(self):
        """Guards against a deleted key that decodes as an empty value."""
        body = {
            'events': [
                {
                    'key': 'a',
                    'value': base64.b64encode(b'v').decode(),
                    'revision': 5,
                    'created': 5,
                    'lease': 0,
                },
                {'key': 'b', 'revision': 6, 'deleted': True},
            ],
            'storeRevision': 6,
        }
        self.assertEqual(
            discovery.StoreChanged(
                6,
                (
                    relaying.StoreRecord('a', 5, b'v'),
                    relaying.StoreRecord('b', 6, None),
                ),
            ),
            store_calls.decode_watch(encode(body)),
        )

    def test_invalid_responses_are_refused(self):
        """Guards against using a response that is not from a store."""
        for body in (b'', b'<html>', b'{"items": 3}'):
            with self.subTest(body=body):
                with self.assertRaises(errors.FrameError):
                    store_calls.decode_list(body)
                with self.assertRaises(errors.FrameError):
                    store_calls.decode_watch(body)
