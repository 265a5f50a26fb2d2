import json
import time
import unittest

from gypsumbridge_decisions import resources
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import small
from gypsumbridge_wire import store
from tests.processes import load

# About 25 queries a second, which one replica of a set carries alone.
PAUSE_S = 0.2


class LeavingEndpointsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        deployment = small.start_small(cls.cluster, 3)
        cls.endpoint = next(
            spec
            for spec in deployment.specs
            if isinstance(spec, resources.Endpoint)
        )

    def received(self):
        address = self.cluster.controls[0]
        _, counts = json_http.call_json('GET', address, '/')
        return counts[self.endpoint.name]['received']

    def gets_work(self):
        before = self.received()
        time.sleep(1.0)
        return self.received() > before

    def check_leaving(self, set_leaving):
        """Set and withdraw one source of leaving under load."""
        nodes = list(self.cluster.nodes.values())
        with load.Load(nodes, 0, pause_s=PAUSE_S) as sent:
            clusters.wait_until(self.gets_work, 'the endpoint gets work')
            set_leaving(True)
            clusters.wait_until(
                lambda: not self.gets_work(), 'the endpoint gets no work'
            )
            self.assertFalse(self.gets_work())
            set_leaving(False)
            clusters.wait_until(self.gets_work, 'the endpoint gets work')
        bad = [o for o in sent.outcomes if o[1] != 200]
        self.assertEqual([], bad[:3], len(bad))

    def test_the_host_list_stops_and_resumes_an_endpoint(self):
        """Guards against new work for a host that the platform drains."""

        def set_leaving(leaving):
            entry = {
                'name': self.endpoint.name,
                'role': 'endpoint',
                'failure_domain': 'fd-a',
                'peer_address': '',
                'http_address': '',
                'leaving': leaving,
            }
            json_http.call_json('PUT', self.cluster.host_list, '/hosts', entry)

        self.check_leaving(set_leaving)

    def test_a_reply_stops_and_a_health_check_resumes_an_endpoint(self):
        """Guards against work for an endpoint that drains by itself, and
        against a restarted one that waits for ever.
        """

        def set_leaving(leaving):
            orders = {
                'searchers': [self.endpoint.name],
                'set': {'draining': leaving},
            }
            json_http.call_json('POST', self.cluster.controls[0], '/', orders)

        self.check_leaving(set_leaving)

    def test_an_operators_declaration_stops_and_resumes_an_endpoint(self):
        """Guards against a declaration that only the catalog shows."""

        def set_leaving(leaving):
            spec = resources.Endpoint(
                **{**vars(self.endpoint), 'leaving': leaving}
            )
            kind = resources.kind_of(spec)
            key = store.encode_key(kind, spec.name).replace('/', '%2F')
            path = f'/v1/keys/{key}'
            _, item = json_http.call_json('GET', self.cluster.store, path)
            resource = resources.Resource(kind, spec.name, 2, 0, 'x', spec)
            status, body = json_http.call_json(
                'PUT',
                self.cluster.store,
                f'{path}?if_revision={item["items"][0]["revision"]}',
                json.loads(store.encode_value(resource)),
            )
            self.assertEqual(200, status, body)

        self.check_leaving(set_leaving)
