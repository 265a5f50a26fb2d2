"""Declares a deployment by `gypsumctl apply`, as operators do."""

from gypsumbridge_decisions import resources
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.deployment import declaration_files

TIMEOUT_S = 60.0


def apply(
    cluster: clusters.Cluster, specs: tuple[resources.Spec, ...]
) -> None:
    """Write declarations to files and run `gypsumctl apply` on them.

    Raises RuntimeError with the command's output if it fails.
    """
    directory = cluster.folder / 'declarations'
    declaration_files.write_files(directory, specs)
    servers = [node.http for node in cluster.nodes.values()]
    arguments = ['gypsumbridge_ctl', 'apply', str(directory), '--wait']
    cluster.spawn('apply', [*arguments, '--server', *servers])
    status = cluster.wait('apply', TIMEOUT_S)
    output = (cluster.folder / 'apply.log').read_text()
    if status:
        raise RuntimeError(f'gypsumctl apply: status {status}: {output}')
    print(f'gypsumctl apply {directory}: {output.splitlines()[-2]}')
    _wait_everywhere(cluster)


def _wait_everywhere(cluster: clusters.Cluster) -> None:
    # `apply --wait` may return as soon as one node has the revision, since a
    # node reports on itself alone until its configuration task has the pull
    # tree.
    def revisions() -> list[int]:
        return [
            json_http.call_json('GET', node.http, '/v1/nodes')[1]['revision']
            for node in cluster.nodes.values()
        ]

    newest = max(revisions())
    clusters.wait_until(
        lambda: min(revisions()) >= newest, 'every node has the declarations'
    )
