"""Wires the gateway's tasks together and runs the reactor."""

import gc
import pathlib
import sys

import logbook

from gypsumbridge_decisions import errors
from gypsumbridge_node import json_lines
from gypsumbridge_node import metrics
from gypsumbridge_node import process_controls
from gypsumbridge_node import runtime_factory
from gypsumbridge_node.gateway import adapter as adapters
from gypsumbridge_node.gateway import edge_resources
from gypsumbridge_node.gateway import gateway_mailboxes
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway.settings import gateway_checks
from gypsumbridge_node.gateway.settings import gateway_settings
from gypsumbridge_node.gateway.tasks import coordinators
from gypsumbridge_node.gateway.tasks import delegated
from gypsumbridge_node.gateway.tasks import discovery_task
from gypsumbridge_node.gateway.tasks import forwarding_task
from gypsumbridge_node.gateway.tasks import grants as grants_task
from gypsumbridge_node.gateway.tasks import holders
from gypsumbridge_node.gateway.tasks import ingress
from gypsumbridge_node.gateway.tasks import lifecycle_task
from gypsumbridge_node.gateway.tasks import peer_http
from gypsumbridge_node.gateway.tasks import peers
from gypsumbridge_node.gateway.tasks import quotas_task
from gypsumbridge_node.gateway.tasks import relay
from gypsumbridge_node.gateway.tasks import searchers
from gypsumbridge_node.gateway.tasks import status_http
from gypsumbridge_node.gateway.tasks import store
from gypsumbridge_node.settings import load
from gypsumbridge_wire import grants
from gypsumbridge_wire import relay as relay_codec

EXIT_SETTINGS = 2
# A gather of 90 parts creates about a thousand objects, which are freed by
# reference counting when it ends. Python's default thresholds of 700 and 10
# cost a tenth of a gather's time.
GC_OBJECTS = 10_000
GC_GENERATIONS = 20


def load_settings(path: pathlib.Path) -> gateway_settings.GatewaySettings:
    """Return the gateway's settings; raises SettingsError."""
    return load.load_sections(
        path,
        gateway_settings.GatewaySettings,
        gateway_checks.VALUE_CHECKS,
        gateway_checks.check_conflicts,
    )


def run_gateway(config: pathlib.Path, adapter: adapters.Adapter) -> int:
    """Run a gateway until a signal stops it; return its exit status."""
    try:
        settings = load_settings(config)
    except errors.SettingsError as error:
        print(error.message, file=sys.stderr)
        return EXIT_SETTINGS
    from twisted.internet import reactor

    json_lines.install_handler(settings.log.level)
    counters = metrics.make_metrics('', 'gypsumbridge')
    runtime = runtime_factory.make_runtime(
        runtimes.GatewayRuntime,
        gateway_mailboxes.GatewayMailboxes,
        reactor,
        settings,
        counters,
        adapter=adapter,
        resources=edge_resources.make_reported_resources(
            settings.limits, counters, logbook.Logger(settings.node.node_id)
        ),
    )
    exit_statuses = [0]

    def exit_process(status: int) -> None:
        exit_statuses.append(status)
        reactor.stop()

    forwarding_task.start_forwarding_task(runtime)
    searchers.start_searchers_task(runtime)
    listening = ingress.start_ingress_task(runtime)
    is_ready = lifecycle_task.start_lifecycle_task(
        runtime,
        process_controls.ProcessControls(
            listening.stopListening, exit_process
        ),
    )
    status_http.start_status_http_task(runtime, is_ready)
    store.start_store_task(runtime)
    peers.start_peers_task(runtime)
    peer_http.start_peer_http_task(
        runtime,
        {
            relay_codec.PATH: relay.start_relay_task(runtime),
            grants.PATH: grants_task.start_grants_task(runtime),
        },
    )
    holders.start_holders_task(runtime)
    quotas_task.start_quotas_task(runtime)
    coordinators.start_coordinators_task(runtime)
    delegated.start_delegated_task(runtime)
    discovery_task.start_discovery_task(runtime)
    # The objects created so far are permanent; frozen, they are not scanned by
    # full collections.
    gc.freeze()
    gc.set_threshold(GC_OBJECTS, GC_GENERATIONS, GC_GENERATIONS)
    runtime.logger.info(
        'gateway started', extra={'callers': settings.listen.callers}
    )
    reactor.run(installSignalHandlers=False)
    runtime.logger.info('gateway stopped')
    return exit_statuses[-1]
