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


def make(*specs):
    return catalog.make_catalog(
        9,
        [
            resources.Resource(resources.kind_of(s), s.name, 1, 1, 'o', s)
            for s in specs
        ],
    )


class ReferencesTest(unittest.TestCase):
    def refused(self, check, *arguments):
        with self.assertRaises(errors.DeclarationError) as caught:
            check(*arguments)
        self.assertTrue(caught.exception.remedy)

    def test_floors_stay_below_the_whole(self):
        """Guards against floors that leave no slot time to share."""
        other = resources.Rank('archive', 2, 0.5, 200)
        self.refused(declaration.check_references, make(RANK), other)
        lower = dataclasses.replace(other, floor=0.4)
        declaration.check_references(make(RANK), lower)
        declaration.check_references(make(RANK), RANK)

    def test_a_limit_names_what_exists(self):
        """Guards against a limit that is silently never applied."""
        check = declaration.check_references
        self.refused(check, make(SERVICE), LIMIT)
        self.refused(check, make(RANK), LIMIT)
        check(make(RANK, SERVICE), LIMIT)
        second = dataclasses.replace(LIMIT, name='m')
        self.refused(check, make(RANK, SERVICE, LIMIT), second)

    def test_a_replica_set_has_an_endpoint(self):
        """Guards against shards that nothing can answer for."""
        check = declaration.check_references
        self.refused(check, make(), SERVICE)
        check(make(ENDPOINT), SERVICE)

    def test_what_others_name_is_kept(self):
        """Guards against deleting a rank, service or replica in use."""
        found = make(RANK, SERVICE, ENDPOINT, LIMIT)
        for spec in (RANK, SERVICE, ENDPOINT):
            kind = resources.kind_of(spec)
            self.refused(declaration.check_unused, found, kind, spec.name)
        second = dataclasses.replace(ENDPOINT, name='e-b')
        found = make(SERVICE, ENDPOINT, second)
        declaration.check_unused(found, resources.Kind.ENDPOINT, 'e-a')
