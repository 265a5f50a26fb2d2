"""The task that keeps routes and searchers in step with the store."""

from typing import Any

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_node import execute as executors
from gypsumbridge_node.gateway import runtime as runtimes


def start_discovery_task(runtime: runtimes.GatewayRuntime) -> None:
    """Run the discovery decisions on their mailbox."""
    boxes = runtime.mailboxes
    state = make_state(runtime)

    def publish(news: Any) -> None:
        boxes.forwarding.put(news)
        boxes.searchers.put(news)

    def publish_routes(news: forwarding.RoutesChanged) -> None:
        publish(news)
        boxes.ingress.put(news)
        runtime.metrics.gauge('discovery.routes_version', news.table.version)

    def report_ready(command: discovery.DiscoveryReady) -> None:
        boxes.lifecycle.put(
            messages.ServingCondition('discovery', messages.MissingReason.NONE)
        )

    execute = executors.make_executor(
        runtime,
        boxes.discovery,
        {
            discovery.ListStore: boxes.store.put,
            discovery.WatchStore: boxes.store.put,
            discovery.WriteNode: boxes.store.put,
            discovery.DiscoveryReady: report_ready,
            relaying.WatchPeer: boxes.peers.put,
            relaying.AnswerPoll: boxes.relay.put,
            forwarding.RoutesChanged: publish_routes,
            forwarding.SearchersChanged: publish,
            forwarding.FleetSizeChanged: publish,
        },
    )

    def handle(message: Any) -> None:
        execute(discovery.handle(state, message, runtime.clock.now_ms()))

    boxes.discovery.start(handle)
    boxes.discovery.put(discovery.ResumeTimer())


def make_state(runtime: runtimes.GatewayRuntime) -> discovery.DiscoveryState:
    """Return the state of a node with the runtime's settings."""
    settings = runtime.settings
    own = relaying.PeerNode(
        settings.node.node_id,
        settings.listen.advertised_peers or settings.listen.peers,
        settings.node.failure_domain,
        settings.node.capacity,
    )
    return discovery.make_discovery_state(
        relaying.make_relay_state(own, settings.discovery.direct_nodes),
        runtime.adapter.schema,
        settings.discovery.drain_ms,
    )
