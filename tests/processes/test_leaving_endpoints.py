import json
import time
import unittest

from gypsumbridge_decisions import resources
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import small_deployment
from gypsumbridge_wire import store
from tests.processes import load

# About 25 queries per second, which one replica of a set can serve alone.
SEND_INTERVAL_S = 0.2


class LeavingEndpointsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        deployment = small_deployment.start_small_deployment(cls.cluster, 3)
        cls.endpoint = next(
            spec
            for spec in deployment.specs
            if isinstance(spec, resources.Endpoint)
        )

    def received_count(self):
        address = self.cluster.controls[0]
        _, counts = json_http.call_json('GET', address, '/')
        return counts[self.endpoint.name]['received']

    def gets_requests(self):
        count_before = self.received_count()
        time.sleep(1.0)
        return self.received_count() > count_before

    def check_leaving(self, set_leaving):
        """Set and reset one source of the leaving state under load."""
        nodes = list(self.cluster.nodes.values())
        with load.Load(nodes, 0, interval_s=SEND_INTERVAL_S) as traffic:
            clusters.wait_until(
                self.gets_requests, 'the endpoint gets requests'
            )
            set_leaving(True)
            clusters.wait_until(
                lambda: not self.gets_requests(),
                'the endpoint gets no requests',
            )
            self.assertFalse(self.gets_requests())
            set_leaving(False)
            clusters.wait_until(
                self.gets_requests, 'the endpoint gets requests'
            )
        failed = [o for o in traffic.outcomes if o[1] != 200]
        self.assertEqual([], failed[:3], len(failed))

    def test_the_host_list_stops_and_resumes_an_endpoint(self):
        """Guards against new requests to a host that the platform drains."""

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
        """Guards against requests to an endpoint that drains by itself, and
        against one that stays unused after its restart.
        """

        def set_leaving(leaving):
            command = {
                'searchers': [self.endpoint.name],
                'set': {'draining': leaving},
            }
            json_http.call_json('POST', self.cluster.controls[0], '/', command)

        self.check_leaving(set_leaving)

    def test_an_operators_declaration_stops_and_resumes_an_endpoint(self):
        """Guards against a declaration that routing ignores."""

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
