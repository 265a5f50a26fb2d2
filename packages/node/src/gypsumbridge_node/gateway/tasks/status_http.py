"""The task that serves readiness and metrics."""

from collections.abc import Callable

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import exposition
from gypsumbridge_node.gateway import listening
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_node.gateway import server_factory


def start_status_http_task(
    runtime: runtimes.GatewayRuntime, is_ready: Callable[[], bool]
) -> None:
    """Listen for readiness checks and, if configured, for metrics."""
    ready_path = runtime.adapter.ready_path

    def answer_ready(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        if request.target.partition('?')[0] != ready_path:
            connection.respond(404, (), b'')
            return
        connection.respond(200 if is_ready() else 503, (), b'')

    def answer_metrics(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        headers = (('Content-Type', exposition.CONTENT_TYPE),)
        body = exposition.encode_metrics(runtime.metrics)
        connection.respond(200, headers, body)

    serve(runtime, runtime.settings.listen.ready, answer_ready)
    if runtime.settings.listen.metrics:
        serve(runtime, runtime.settings.listen.metrics, answer_metrics)


def serve(
    runtime: runtimes.GatewayRuntime,
    listen: str,
    on_request: Callable[
        [server_connection.ServerConnection, parsed_request.ParsedRequest],
        None,
    ],
) -> None:
    """Listen on an address; `on_request` answers each request at once."""
    limits = forwarding.IngressLimits()
    factory = server_factory.make_factory(
        on_request,
        lambda connection: None,
        lambda: limits,
        lambda: False,
        runtime.resources,
    )
    listening.listen(runtime, listen, factory)
