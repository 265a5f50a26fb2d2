import dataclasses
import unittest

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import resources

RANK = resources.Rank('border', 0, 0.5, 200)
VERSION = resources.IndexVersion('v1', {'s0': 'set-00'})
SERVICE = resources.Service('verify', (VERSION,), 'v1')
ENDPOINT = resources.Endpoint(
    'e-a', 'verify', 'set-00', '127.0.0.1', 9000, 'fd-a'
)
LIMIT = resources.Limit('l', 'verify', 'border')


def make_catalog(*specs):
    return catalog.make_catalog(
        9,
        [
            resources.Resource(resources.kind_of(s), s.name, 1, 1, 'o', s)
            for s in specs
        ],
    )


class ReferencesTest(unittest.TestCase):
    def assert_refused(self, check, *arguments):
        with self.assertRaises(errors.DeclarationError) as caught:
            check(*arguments)
        self.assertTrue(caught.exception.remedy)

    def test_the_sum_of_floors_stays_below_1(self):
        """Guards against floors that leave no slot time to share."""
        other = resources.Rank('archive', 2, 0.5, 200)
        self.assert_refused(
            declaration.check_references, make_catalog(RANK), other
        )
        lower = dataclasses.replace(other, floor=0.4)
        declaration.check_references(make_catalog(RANK), lower)
        declaration.check_references(make_catalog(RANK), RANK)

    def test_a_limit_refers_to_declared_resources(self):
        """Guards against a limit that is silently never applied."""
        check = declaration.check_references
        self.assert_refused(check, make_catalog(SERVICE), LIMIT)
        self.assert_refused(check, make_catalog(RANK), LIMIT)
        check(make_catalog(RANK, SERVICE), LIMIT)
        second = dataclasses.replace(LIMIT, name='m')
        self.assert_refused(check, make_catalog(RANK, SERVICE, LIMIT), second)

    def test_a_replica_set_has_an_endpoint(self):
        """Guards against shards that no endpoint serves."""
        check = declaration.check_references
        self.assert_refused(check, make_catalog(), SERVICE)
        check(make_catalog(ENDPOINT), SERVICE)

    def test_a_resource_in_use_is_not_deleted(self):
        """Guards against deleting a rank, service or replica in use."""
        found = make_catalog(RANK, SERVICE, ENDPOINT, LIMIT)
        for spec in (RANK, SERVICE, ENDPOINT):
            kind = resources.kind_of(spec)
            self.assert_refused(
                declaration.check_unused, found, kind, spec.name
            )
        second = dataclasses.replace(ENDPOINT, name='e-b')
        found = make_catalog(SERVICE, ENDPOINT, second)
        declaration.check_unused(found, resources.Kind.ENDPOINT, 'e-a')
