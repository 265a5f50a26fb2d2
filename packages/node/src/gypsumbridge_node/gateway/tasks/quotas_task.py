"""The task that runs the quota decisions."""

import dataclasses
from typing import Any

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import quotas
from gypsumbridge_node import execute as executors
from gypsumbridge_node.gateway import runtime as runtimes


def start_quotas_task(runtime: runtimes.GatewayRuntime) -> None:
    """Admit requests of customers with a quota, and grant tokens.

    Permissions and their ends are judged by the clock that counts suspended
    time.
    """
    settings = runtime.settings
    mailboxes = runtime.mailboxes
    state = quotas.make_quota_state(
        quotas.QuotaPolicy(
            settings.node.node_id,
            settings.node.failure_domain,
            int(settings.quota.window_s * 1000),
            settings.quota.overshoot,
            settings.quota.slack,
            settings.quota.partitions,
            int(settings.quota.holder_ttl_s * 1000),
            settings.quota.first_start,
        )
    )
    execute = executors.make_executor(
        runtime,
        mailboxes.quotas,
        {
            quotas.AdmissionResult: mailboxes.forwarding.put,
            quotas.AskHolder: mailboxes.holders.put,
            quotas.AnswerGrant: mailboxes.grants.put,
            quotas.WriteHolder: mailboxes.store.put,
        },
    )

    def warn_if_apart(nodes: int, limited: bool) -> None:
        if settings.listen.peers or nodes < 2 or not limited:
            return
        runtime.logger.warning(
            'customers with quotas are refused here; set [listen] peers',
            extra={'nodes': nodes},
        )

    def handle(message: Any) -> None:
        match message:
            case forwarding.RoutesChanged():
                message = read_quotas(message.table)
                warn_if_apart(len(state.nodes), has_limits(message))
            case forwarding.NodesChanged():
                message = admit_sole_node(message, settings.listen.callers)
                warn_if_apart(len(message.nodes), bool(state.limits))
        execute(quotas.handle(state, message, runtime.clock.boot_ms()))

    mailboxes.quotas.start(handle)


def read_quotas(table: forwarding.RouteTable) -> quotas.QuotasChanged:
    """Return the quotas of a version of the configuration."""
    customers = {} if table.customers is None else table.customers.customers
    return quotas.QuotasChanged(
        table.version,
        {
            name: quotas.Quota(found.rate_per_s, found.burst)
            for name, found in customers.items()
        },
    )


def has_limits(changed: quotas.QuotasChanged) -> bool:
    """Return whether any customer has a quota."""
    return any(
        quota.rate_per_s > 0 or quota.burst > 0
        for quota in changed.quotas.values()
    )


def admit_sole_node(
    update: forwarding.NodesChanged, address: str
) -> forwarding.NodesChanged:
    """Return the nodes, of which a single one can hold all partitions.

    Nodes without an address are not made holders, since nobody can ask them.
    A single node asks itself, without a call.
    """
    if len(update.nodes) != 1 or update.nodes[0].address:
        return update
    node = dataclasses.replace(update.nodes[0], address=address)
    return forwarding.NodesChanged((node,))
