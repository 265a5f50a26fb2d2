"""The small deployment that the process tests share."""

from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.cluster import start
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.deployment import deployment as deployments

DOMAINS = ('fd-a', 'fd-b', 'fd-c')
SERVICE_MS = 5.0


def start_small(
    cluster: clusters.Cluster, nodes: int
) -> deployments.Deployment:
    """Start the small groups' searchers and some nodes, all declared."""
    chosen = ports.free_ports(build.count_searchers(build.SMALL_GROUPS))
    deployment = build.build(build.SMALL_GROUPS, chosen, SERVICE_MS)
    start.start_platform(cluster, deployment)
    start.declare(cluster, deployment.specs)
    start.start_nodes(cluster, nodes, DOMAINS)
    return deployment
