import dataclasses
import unittest

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_codec
from gypsumbridge_platform import header_names

REQUEST = forwarding.CallerRequest(
    1, 'r', 'GET', 'a.example', '/', (('A', 'b'),), b'', 600, 0
)


class CustomerHeaderTest(unittest.TestCase):
    def head(self, customer):
        request = dataclasses.replace(REQUEST, customer=customer)
        shared = attempt_codec.encode_shared_head(
            header_names.HEADERS, request
        )
        return shared.decode('latin-1').lower().split('\r\n')

    def test_a_searcher_gets_the_customers_name_once(self):
        """Guards against a request that a searcher books for nobody."""
        found = [x for x in self.head('gold') if 'tenant' in x]
        self.assertEqual(['gypsumbridge-tenant: gold'], found)

    def test_without_a_customer_there_is_no_header(self):
        """Guards against an empty name for a public request."""
        self.assertNotIn('tenant', ''.join(self.head('')))
