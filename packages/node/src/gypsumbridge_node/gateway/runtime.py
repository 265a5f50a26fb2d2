"""The objects that the gateway's tasks share."""

import dataclasses
from typing import Any

import logbook

from gypsumbridge_decisions import clock
from gypsumbridge_node import decision_log
from gypsumbridge_node import metrics
from gypsumbridge_node.gateway import adapter
from gypsumbridge_node.gateway import edge_resources
from gypsumbridge_node.gateway import gateway_mailboxes
from gypsumbridge_node.gateway.settings import gateway_settings


@dataclasses.dataclass(frozen=True)
class GatewayRuntime:
    """The reactor, clock, settings, logs, metrics, mailboxes and adapter.

    `resources` is the memory and descriptors that all connections share.
    """

    reactor: Any
    clock: clock.Clock
    settings: gateway_settings.GatewaySettings
    logger: logbook.Logger
    decision_log: decision_log.DecisionLog
    metrics: metrics.Metrics
    mailboxes: gateway_mailboxes.GatewayMailboxes
    adapter: adapter.Adapter
    resources: edge_resources.EdgeResources
