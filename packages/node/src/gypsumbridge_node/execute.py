"""Carries out the commands of a decision."""

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
    own: mailbox.Mailbox,
    actions: Mapping[type, Callable[[Any], None]],
) -> Callable[[Iterable[Any]], None]:
    """Return a function that carries out commands.

    Timers, decisions, counts and latencies mean the same for every task;
    `actions` adds the task's own commands.
    """

    def set_timer(timer: messages.Timer) -> None:
        own.put_later(timer.delay_ms, timer.event)

    def count(counted: messages.Count) -> None:
        runtime.metrics.count(counted.name, counted.value)

    def observe(observed: messages.Observe) -> None:
        runtime.metrics.observe(observed.name, observed.value_ms)

    table: dict[type, Callable[[Any], None]] = {
        messages.Timer: set_timer,
        messages.Decision: runtime.decisions.write,
        messages.Count: count,
        messages.Observe: observe,
        **actions,
    }

    def execute(commands: Iterable[Any]) -> None:
        for command in commands:
            table[type(command)](command)

    return execute
