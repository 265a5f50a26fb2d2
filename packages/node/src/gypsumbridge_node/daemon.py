"""Starts the tasks of a node and runs the reactor."""

from typing import Any

from twisted.internet import task
from twisted.web import server
import txzmq

from gypsumbridge_node import address
from gypsumbridge_node import bounded_request
from gypsumbridge_node import http_channel
from gypsumbridge_node import json_lines
from gypsumbridge_node import mailboxes
from gypsumbridge_node import metrics
from gypsumbridge_node import path_resource
from gypsumbridge_node import process_controls
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import runtime_factory
from gypsumbridge_node.settings import settings as all_settings
from gypsumbridge_node.tasks import caller_http
from gypsumbridge_node.tasks import configuration
from gypsumbridge_node.tasks import endpoint
from gypsumbridge_node.tasks import front
from gypsumbridge_node.tasks import lifecycle
from gypsumbridge_node.tasks import membership
from gypsumbridge_node.tasks import mutation
from gypsumbridge_node.tasks import operator_http
from gypsumbridge_node.tasks import owner
from gypsumbridge_node.tasks import peer_link
from gypsumbridge_node.tasks import store


def run_daemon(settings: all_settings.Settings) -> int:
    """Run a node until a signal stops it; return its exit status."""
    from twisted.internet import reactor

    json_lines.install_handler(settings.log.level)
    runtime = make_runtime(reactor, settings)
    factory = txzmq.ZmqFactory()
    root = path_resource.PathResource()
    channels: set[http_channel.JsonChannel] = set()
    listening = listen(runtime, root, channels)
    exit_statuses = [lifecycle.EXIT_CLEAN]

    def exit_process(status: int) -> None:
        exit_statuses.append(status)
        reactor.stop()

    owner.start_owner_task(runtime)
    front.start_front_task(runtime)
    mutation.start_mutation_task(runtime)
    endpoint.start_endpoint_task(runtime)
    store.start_store_task(runtime)
    peer_link.start_peer_link_task(runtime, factory)
    caller_http.start_caller_http_task(
        runtime, root, lambda: http_channel.count_requests(channels)
    )
    v1_resource = root.getStaticEntity(b'v1')
    operator_http.start_operator_http_task(runtime, v1_resource)
    lifecycle.start_lifecycle_task(
        runtime,
        root,
        process_controls.ProcessControls(
            listening.stopListening, exit_process
        ),
    )
    configuration.start_configuration_task(runtime)
    membership.start_membership_task(runtime)
    flush = task.LoopingCall(runtime.metrics.flush)
    flush.start(metrics.FLUSH_INTERVAL_S, now=False)
    runtime.logger.info(
        'node started',
        extra={'http': settings.node.http_address},
    )
    reactor.run(installSignalHandlers=False)
    runtime.logger.info('node stopped')
    return exit_statuses[-1]


def listen(
    runtime: runtimes.Runtime,
    root: path_resource.PathResource,
    channels: set[http_channel.JsonChannel],
) -> Any:
    """Serve HTTP to callers, operators and health checks.

    Records the open connections in `channels`. Returns the listening port.
    """
    settings = runtime.settings
    make_request = bounded_request.make_request_factory(
        settings.limits.max_body_bytes
    )
    # Twisted would parse a form before the size and type checks run.
    site = server.Site(root, make_request, parsePOSTFormSubmission=False)
    site.protocol = http_channel.make_channel_factory(
        channels,
        lambda count: runtime.metrics.gauge('http.connections', count),
    )
    host, port = address.split_address(settings.node.http_address)
    return runtime.reactor.listenTCP(port, site, interface=host)


def make_runtime(
    reactor: Any, settings: all_settings.Settings
) -> runtimes.Runtime:
    """Return the runtime that the tasks of a node share."""
    return runtime_factory.make_runtime(
        runtimes.Runtime,
        mailboxes.Mailboxes,
        reactor,
        settings,
        metrics.make_metrics(
            settings.metrics.statsd_address, settings.metrics.prefix
        ),
    )
