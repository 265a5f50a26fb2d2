"""The task that keeps routes and searchers in sync with the store."""

from typing import Any

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying
from gypsumbridge_node import execute as executors
from gypsumbridge_node.gateway import runtime as runtimes


def start_discovery_task(runtime: runtimes.GatewayRuntime) -> None:
    """Handle the messages of the discovery mailbox."""
    mailboxes = runtime.mailboxes
    state = make_state(runtime)

    def publish(update: Any) -> None:
        mailboxes.forwarding.put(update)
        mailboxes.searchers.put(update)

    def publish_routes(update: forwarding.RoutesChanged) -> None:
        publish(update)
        mailboxes.ingress.put(update)
        mailboxes.quotas.put(update)
        runtime.metrics.gauge('discovery.routes_version', update.table.version)

    def publish_evacuation(update: forwarding.EvacuationChanged) -> None:
        publish(update)
        runtime.metrics.gauge(
            'discovery.evacuated_domains', len(update.failure_domains)
        )

    def publish_nodes(update: forwarding.NodesChanged) -> None:
        publish(update)
        mailboxes.quotas.put(update)

    def publish_confirmation(update: forwarding.CopyConfirmed) -> None:
        mailboxes.forwarding.put(update)
        mailboxes.quotas.put(update)
        runtime.metrics.gauge('discovery.store_era', update.era)

    def report_ready(command: discovery.DiscoveryReady) -> None:
        mailboxes.lifecycle.put(
            messages.ServingCondition('discovery', messages.MissingReason.NONE)
        )

    execute = executors.make_executor(
        runtime,
        mailboxes.discovery,
        {
            discovery.ListStore: mailboxes.store.put,
            discovery.WatchStore: mailboxes.store.put,
            discovery.WriteNode: mailboxes.store.put,
            discovery.DiscoveryReady: report_ready,
            relaying.WatchPeer: mailboxes.peers.put,
            relaying.AnswerPoll: mailboxes.relay.put,
            forwarding.RoutesChanged: publish_routes,
            forwarding.SearchersChanged: publish,
            forwarding.EvacuationChanged: publish_evacuation,
            forwarding.HoldChanged: mailboxes.forwarding.put,
            forwarding.FleetSizeChanged: publish,
            forwarding.NodesChanged: publish_nodes,
            quotas.HoldersChanged: mailboxes.quotas.put,
            forwarding.CopyConfirmed: publish_confirmation,
        },
    )

    def handle(message: Any) -> None:
        execute(discovery.handle(state, message, runtime.clock.now_ms()))

    mailboxes.discovery.start(handle)
    mailboxes.discovery.put(discovery.ResumeTimer())


def make_state(runtime: runtimes.GatewayRuntime) -> discovery.DiscoveryState:
    """Return the initial discovery state for the runtime's settings."""
    settings = runtime.settings
    own = relaying.PeerNode(
        settings.node.node_id,
        settings.listen.advertised_peers or settings.listen.peers,
        settings.node.failure_domain,
        settings.node.capacity,
        settings.listen.advertised_gathers or settings.listen.gathers,
    )
    return discovery.make_discovery_state(
        relaying.make_relay_state(own, settings.discovery.direct_nodes),
        runtime.adapter.schema,
        settings.discovery.drain_ms,
    )
