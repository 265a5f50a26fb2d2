"""The task that runs the forwarding decisions."""

from typing import Any

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import quotas
from gypsumbridge_node import execute as executors
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway.settings import regions


def start_forwarding_task(runtime: runtimes.GatewayRuntime) -> None:
    """Handle requests: send, hedge and retry them, and merge their parts."""
    settings = runtime.settings
    state = forwarding.make_forwarding_state(
        forwarding.ForwardingPolicy(
            settings.node.node_id,
            settings.node.failure_domain,
            settings.retry.ratio,
            settings.retry.allowance,
            int(settings.retry.window_s * 1000),
            regions.decode_regions(settings.discovery.regions),
            settings.admission.control_load,
        ),
        runtime.clock.now_ms(),
    )
    mailboxes = runtime.mailboxes

    def respond(response: forwarding.CallerResponse) -> None:
        # Requests that other nodes delegate have negative ids.
        if response.call_id < 0:
            mailboxes.delegated.put(response)
            return
        mailboxes.ingress.put(response)

    execute = executors.make_executor(
        runtime,
        mailboxes.forwarding,
        {
            forwarding.SendAttempt: mailboxes.searchers.put,
            forwarding.CancelAttempt: mailboxes.searchers.put,
            forwarding.CallerResponse: respond,
            forwarding.DelegateRequest: mailboxes.coordinators.put,
            forwarding.CancelDelegation: mailboxes.coordinators.put,
            forwarding.AcceptDelegated: mailboxes.delegated.put,
            forwarding.RefuseDelegated: mailboxes.delegated.put,
            quotas.AdmissionRequest: mailboxes.quotas.put,
            quotas.AdmissionCancelled: mailboxes.quotas.put,
        },
    )

    def handle(message: Any) -> None:
        if isinstance(message, messages.ServingChanged):
            if not message.refusal:
                return
            message = forwarding.StopAccepting()
        clock = runtime.clock
        execute(
            forwarding.handle(state, message, clock.now_ms(), clock.boot_ms())
        )

    mailboxes.forwarding.start(handle)
