"""The small deployment that most process tests use."""

from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.cluster import start
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.deployment import deployment as deployments

DOMAINS = ('fd-a', 'fd-b', 'fd-c')
SERVICE_MS = 5.0


def start_small_deployment(
    cluster: clusters.Cluster, nodes: int
) -> deployments.Deployment:
    """Start the searchers of the small groups, declare them, start nodes."""
    searcher_ports = ports.find_free_ports(
        build.count_searchers(build.SMALL_GROUPS)
    )
    deployment = build.build(build.SMALL_GROUPS, searcher_ports, SERVICE_MS)
    start.start_platform(cluster, deployment)
    start.declare(cluster, deployment.specs)
    start.start_nodes(cluster, nodes, DOMAINS)
    return deployment
