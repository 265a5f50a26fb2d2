"""Builds a replay with fixed members and catalog from a deployment."""

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_standins.deployment import deployment as deployments
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.replay import model_endpoint
from gypsumbridge_standins.replay import replay as replays
from gypsumbridge_standins.replay import replay_node

OWNER_SILENCE_MS = 50


def make_fleet(
    deployment: deployments.Deployment,
    nodes: int,
    domains: tuple[str, ...],
    seed: int,
) -> replays.Replay:
    """Return a replay whose nodes serve the deployment's resources."""
    replay = replays.Replay(seed)
    for spec in deployment.searchers:
        replay.endpoints[spec.name] = model_endpoint.ModelEndpoint(
            spec.name, spec.slots, spec.service_ms, spec.queue, seed
        )
    for number in range(nodes):
        node_id = f'node-{number + 1}'
        member = messages.Member(
            node_id, domains[number % len(domains)], node_id, node_id
        )
        replay.nodes[node_id] = replay_node.ReplayNode(
            member, OWNER_SILENCE_MS
        )
    changed = make_catalog(1, deployment.specs)
    for node_id in replay.nodes:
        start_node(replay, node_id, changed)
    return replay


def make_catalog(
    revision: int, specs: tuple[resources.Spec, ...]
) -> messages.CatalogChanged:
    """Return the message that brings declarations into force."""
    declared = [
        resources.Resource(
            resources.kind_of(spec), spec.name, 1, revision, '', spec
        )
        for spec in specs
    ]
    return messages.CatalogChanged(catalog.make_catalog(revision, declared))


def start_node(
    replay: replays.Replay, node_id: str, changed: messages.CatalogChanged
) -> None:
    """Send a node the catalog, the live members and the serving state."""
    delivery.deliver(replay, node_id, changed)
    delivery.deliver(replay, node_id, live_members(replay))
    serving = messages.ServingChanged(messages.MissingReason.NONE)
    delivery.deliver(replay, node_id, serving)


def live_members(replay: replays.Replay) -> messages.MembersChanged:
    """Return the members that are alive."""
    return messages.MembersChanged(
        tuple(node.member for node in replay.nodes.values() if node.alive)
    )
