"""Execution of the commands that decisions return."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_node import mailbox
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node.gateway import runtime as gateway_runtime


def make_executor(
    runtime: runtimes.Runtime | gateway_runtime.GatewayRuntime,
    own_mailbox: mailbox.Mailbox,
    actions: Mapping[type, Callable[[Any], None]],
) -> Callable[[Iterable[Any]], None]:
    """Return a function that executes commands.

    Timers, decisions, counts and latencies are handled alike for every
    task; `actions` adds the handlers of the task's own commands.
    """

    def set_timer(timer: messages.Timer) -> None:
        own_mailbox.put_later(timer.delay_ms, timer.event)

    def count(command: messages.Count) -> None:
        runtime.metrics.count(command.name, command.value)

    def observe(command: messages.Observe) -> None:
        runtime.metrics.observe(command.name, command.value_ms)

    handlers: dict[type, Callable[[Any], None]] = {
        messages.Timer: set_timer,
        messages.Decision: runtime.decision_log.write,
        messages.Count: count,
        messages.Observe: observe,
        **actions,
    }

    def execute(commands: Iterable[Any]) -> None:
        for command in commands:
            handlers[type(command)](command)

    return execute
