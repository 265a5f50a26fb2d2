"""The task that answers other nodes' requests for tokens."""

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import quotas
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import peer_site
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_wire import grants

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_INTERNAL_ERROR = 500


def start_grants_task(
    runtime: runtimes.GatewayRuntime,
) -> peer_site.PeerSite:
    """Pass grant requests to the quotas task and send its answers."""
    waiting: dict[int, server_connection.ServerConnection] = {}
    last_call_id = 0

    def handle_request(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        nonlocal last_call_id
        try:
            asked = grants.decode_request(request.body)
        except errors.FrameError as error:
            runtime.metrics.count('grants.rejected')
            runtime.logger.error(
                'grant request rejected', extra={'error': str(error)}
            )
            connection.respond(STATUS_BAD_REQUEST, (), b'')
            return
        last_call_id += 1
        waiting[last_call_id] = connection
        runtime.mailboxes.quotas.put(quotas.GrantAsked(last_call_id, asked))

    def remove_calls(connection: server_connection.ServerConnection) -> None:
        closed = [i for i, found in waiting.items() if found is connection]
        for call_id in closed:
            del waiting[call_id]

    def answer(command: quotas.AnswerGrant) -> None:
        connection = waiting.pop(command.call_id, None)
        if connection is None:
            return
        runtime.metrics.count('grants.answers')
        try:
            body = grants.encode_reply(command.reply)
        except errors.FrameError as error:
            runtime.logger.error(
                'grant cannot be sent', extra={'error': str(error)}
            )
            connection.respond(STATUS_INTERNAL_ERROR, (), b'')
            return
        connection.respond(STATUS_OK, (), body)

    runtime.mailboxes.grants.start(answer)
    return peer_site.PeerSite(handle_request, remove_calls)
