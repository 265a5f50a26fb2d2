"""The objects that all tasks of a node share."""

import dataclasses
from typing import Any

import logbook

from gypsumbridge_decisions import clock
from gypsumbridge_node import decision_log
from gypsumbridge_node import mailboxes
from gypsumbridge_node import metrics
from gypsumbridge_node.settings import settings


@dataclasses.dataclass(frozen=True)
class Runtime:
    """The reactor, clock, settings, logs, metrics and mailboxes."""

    reactor: Any
    clock: clock.Clock
    settings: settings.Settings
    logger: logbook.Logger
    decision_log: decision_log.DecisionLog
    metrics: metrics.Metrics
    mailboxes: mailboxes.Mailboxes
