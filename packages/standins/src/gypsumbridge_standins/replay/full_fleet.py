"""Builds a replay whose nodes also run the control protocols."""

from gypsumbridge_decisions import configuration
from gypsumbridge_decisions import membership
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from gypsumbridge_decisions import resources
from gypsumbridge_standins.deployment import deployment as deployments
from gypsumbridge_standins.replay import control
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.replay import fleet
from gypsumbridge_standins.replay import model_endpoint
from gypsumbridge_standins.replay import replay as replays
from gypsumbridge_standins.replay import replay_node
from gypsumbridge_standins.store import operations
from gypsumbridge_wire import store as store_wire

POLL_MS = 1_000


def make_full_fleet(
    deployment: deployments.Deployment,
    nodes: int,
    domains: tuple[str, ...],
    seed: int,
) -> replays.Replay:
    """Return a replay whose nodes start without any state."""
    replay = replays.Replay(seed)
    replay.domains = domains
    replay.encode_messages = True
    for spec in deployment.searchers:
        replay.endpoints[spec.name] = model_endpoint.ModelEndpoint(
            spec.name, spec.slots, spec.service_ms, spec.queue, seed
        )
    for declared in deployment.specs:
        declare(replay, declared)
    for number in range(nodes):
        node_id = f'node-{number + 1}'
        domain = domains[number % len(domains)]
        peer = f'10.0.0.{number + 1}:7000'
        http = f'10.0.0.{number + 1}:8000'
        member = messages.Member(node_id, domain, peer, http)
        replay.nodes[node_id] = replay_node.ReplayNode(
            member, fleet.OWNER_SILENCE_MS
        )
        skew_ms = control.LIMITS.clock_skew_ms
        replay.wall_offsets_ms[node_id] = replay.random.randrange(skew_ms)
    publish_hosts(replay, set())
    for node_id in list(replay.nodes):
        start(replay, node_id)
    return replay


def declare(replay: replays.Replay, spec: resources.Spec) -> None:
    """Write a resource into the store before the run."""
    kind = resources.kind_of(spec)
    resource = resources.Resource(kind, spec.name, 1, 0, '', spec)
    key = store_wire.encode_key(kind, spec.name)
    value = store_wire.encode_value(resource)
    operations.write(replay.store.state, key, value, 0)


def publish_hosts(replay: replays.Replay, leaving: set[str]) -> None:
    """Publish a new version of the host list."""
    hosts = [
        messages.HostEntry(
            node_id,
            'node',
            node.member.failure_domain,
            node.member.peer_address,
            node.member.http_address,
            False,
        )
        for node_id, node in replay.nodes.items()
    ]
    hosts += [
        messages.HostEntry(name, 'endpoint', '', '', '', name in leaving)
        for name in replay.endpoints
    ]
    replay.hosts.add_version(
        replay.scheduler.now_ms(), messages.HostList(tuple(hosts))
    )


def start(replay: replays.Replay, node_id: str) -> None:
    """Start or restart a node without any state under its id."""
    replay.start_count += 1
    member = replay.nodes[node_id].member
    node = replay_node.ReplayNode(member, fleet.OWNER_SILENCE_MS)
    node.control = control.Control(
        member,
        replay.domains,
        f'{replay.seed} {node_id} {replay.start_count}',
        replay.scheduler.now_ms(),
        replay.wall_offsets_ms[node_id],
    )
    replay.nodes[node_id] = node
    for event in (
        mutation.SweepTimer(),
        configuration.Tick(),
        membership.ProbeTick(),
    ):
        delivery.deliver(replay, node_id, event)
    poll_hosts(replay, node)


def poll_hosts(replay: replays.Replay, node: replay_node.ReplayNode) -> None:
    """Read the host list now and every second until the node's restart."""
    if replay.nodes[node.member.node_id] is not node or not node.alive:
        return
    if not node.paused:
        hosts = replay.hosts.read(replay.scheduler.now_ms())
        if hosts is not node.last_hosts:
            node.last_hosts = hosts
            replay.on_hosts(hosts)
            delivery.deliver(replay, node.member.node_id, hosts)
    replay.scheduler.after(POLL_MS, lambda: poll_hosts(replay, node))
