"""Makes the runtime that the tasks of a process share."""

import time
from typing import Any
from typing import TypeVar

import logbook

from gypsumbridge_decisions import clock as clocks
from gypsumbridge_node import decision_log
from gypsumbridge_node import mailbox
from gypsumbridge_node import metrics as metrics_module

Runtime = TypeVar('Runtime')


def make_runtime(
    kind: type[Runtime],
    mailboxes_type: type,
    reactor: Any,
    settings: Any,
    metrics: metrics_module.Metrics,
    **extra_fields: Any,
) -> Runtime:
    """Return a runtime with the real clock and the settings' log limits.

    `mailboxes_type` is the data class of the process's mailboxes;
    `extra_fields` holds the fields that only this `kind` of runtime has.
    """
    logger = logbook.Logger(settings.node.node_id)
    clock = clocks.make_clock(
        time.monotonic_ns,
        time.time_ns,
        lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME),
    )
    decisions = decision_log.DecisionLog(
        logger, clock, settings.log.decision_lines_per_second
    )
    return kind(
        reactor=reactor,
        clock=clock,
        settings=settings,
        logger=logger,
        decision_log=decisions,
        metrics=metrics,
        mailboxes=mailbox.make_mailboxes(
            mailboxes_type, reactor, mailbox.make_error_log(logger)
        ),
        **extra_fields,
    )
