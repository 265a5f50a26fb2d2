"""Wires the tasks of a node together and runs the reactor."""

import time
from typing import Any

import logbook
from twisted.internet import task
from twisted.web import resource
from twisted.web import server
import txzmq

from gypsumbridge_decisions import clock as clocks
from gypsumbridge_node import address
from gypsumbridge_node import bounded_request
from gypsumbridge_node import decision_log
from gypsumbridge_node import json_lines
from gypsumbridge_node import mailboxes
from gypsumbridge_node import metrics
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node.settings import settings as all_settings
from gypsumbridge_node.tasks import caller_http
from gypsumbridge_node.tasks import configuration
from gypsumbridge_node.tasks import endpoint
from gypsumbridge_node.tasks import front
from gypsumbridge_node.tasks import lifecycle
from gypsumbridge_node.tasks import membership
from gypsumbridge_node.tasks import mutation
from gypsumbridge_node.tasks import owner
from gypsumbridge_node.tasks import peer_link
from gypsumbridge_node.tasks import store


def run_daemon(settings: all_settings.Settings) -> None:
    """Run a node until it is stopped by a signal."""
    from twisted.internet import reactor

    json_lines.install_handler(settings.log.level)
    runtime = make_runtime(reactor, settings)
    factory = txzmq.ZmqFactory()
    root = resource.Resource()
    owner.start_owner_task(runtime)
    front.start_front_task(runtime)
    mutation.start_mutation_task(runtime)
    endpoint.start_endpoint_task(runtime)
    store.start_store_task(runtime)
    peer_link.start_peer_link_task(runtime, factory)
    caller_http.start_caller_http_task(runtime, root)
    lifecycle.start_lifecycle_task(runtime, root, reactor.stop)
    configuration.start_configuration_task(runtime)
    membership.start_membership_task(runtime)
    flush = task.LoopingCall(runtime.metrics.flush)
    flush.start(metrics.FLUSH_INTERVAL_S, now=False)
    site = server.Site(root, bounded_request.BoundedRequest)
    host, port = address.split_address(settings.node.http_address)
    reactor.listenTCP(port, site, interface=host)
    runtime.logger.info(
        'node started',
        extra={'http': settings.node.http_address},
    )
    reactor.run(installSignalHandlers=False)
    runtime.logger.info('node stopped')


def make_runtime(
    reactor: Any, settings: all_settings.Settings
) -> runtimes.Runtime:
    """Return what the tasks of a node share."""
    logger = logbook.Logger(settings.node.node_id)
    clock = clocks.make_clock(time.monotonic_ns, time.time_ns)

    def on_error(error: Exception, message: Any) -> None:
        logger.exception(
            'message handler failed',
            extra={'message_type': type(message).__name__},
        )

    return runtimes.Runtime(
        reactor=reactor,
        clock=clock,
        settings=settings,
        logger=logger,
        decisions=decision_log.DecisionLog(
            logger, clock, settings.log.decision_lines_per_second
        ),
        metrics=metrics.make_metrics(
            settings.metrics.statsd_address, settings.metrics.prefix
        ),
        boxes=mailboxes.make_mailboxes(reactor, on_error),
    )
