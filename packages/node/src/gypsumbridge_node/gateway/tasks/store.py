"""The task that calls the platform's store."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import quotas
from gypsumbridge_node.gateway import api_client
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import store_page
from gypsumbridge_wire import holders
from gypsumbridge_wire import relay

# The changes since a revision may be dropped by the store, or may exceed the
# limit on responses, while a list has pages.
LIST_FAILURES = {'status_410': 'compacted'}
WATCH_FAILURES = {
    **LIST_FAILURES,
    f'connection_{client_connection.BODY_TOO_LARGE}': 'too_large',
}
# The precondition of a write did not hold, so nothing was written.
CONFLICT = 'status_412'
# The store answers a watch without changes within this time after the wait of
# the watch ends. The wait and this margin together are shorter than the time
# after which a node whose connections became unresponsive counts as connected
# again (4 s on small sites).
WATCH_MARGIN_MS = 800


def start_store_task(runtime: runtimes.GatewayRuntime) -> None:
    """List, watch and write; results are sent to the tasks that asked."""
    client = api_client_state.ApiClientState(
        runtime, 'store', runtime.settings.discovery.store_address
    )
    handlers: dict[type, Callable[[Any], None]] = {
        discovery.ListStore: make_lister(runtime, client),
        discovery.WatchStore: make_watcher(runtime, client),
        discovery.WriteNode: make_node_writer(runtime, client),
        quotas.WriteHolder: make_holder_writer(runtime, client),
    }

    def handle(message: Any) -> None:
        handlers[type(message)](message)

    runtime.mailboxes.store.start(handle)


def send_call(
    runtime: runtimes.GatewayRuntime,
    client: api_client_state.ApiClientState,
    request: http_request.HttpRequest,
    timeout_ms: int,
    on_success: Callable[[http_reply.HttpReply, int | None], None],
    on_failure: Callable[[str, int | None], None],
) -> None:
    """Send a call; its result is reported with the era of the response."""
    era: int | None = None

    def read_era(reply: http_reply.HttpReply) -> None:
        nonlocal era
        era = runtime.adapter.decode_era(reply.headers)

    api_client.send_call(
        client,
        request,
        timeout_ms,
        lambda reply: on_success(reply, era),
        lambda reason: on_failure(reason, era),
        on_reply=read_era,
    )


def make_failure_report(
    runtime: runtimes.GatewayRuntime, history_lost: Mapping[str, str]
) -> Callable[[str, int | None], None]:
    """Return a function that reports a failed list or watch.

    After the failures in `history_lost`, which maps each to its reason, the
    same call would fail again.
    """
    mailbox = runtime.mailboxes.discovery

    def report(reason: str, era: int | None) -> None:
        if reason in history_lost:
            mailbox.put(discovery.HistoryLost(history_lost[reason], era))
            return
        mailbox.put(discovery.StoreFailed(reason, era))

    return report


def make_lister(
    runtime: runtimes.GatewayRuntime,
    client: api_client_state.ApiClientState,
) -> Callable[[discovery.ListStore], None]:
    """Return a function that reads all pages of the store."""
    adapter = runtime.adapter
    timeout_ms = runtime.settings.discovery.timeout_ms
    report_failure = make_failure_report(runtime, LIST_FAILURES)
    pages: list[store_page.StorePage] = []
    stale_ok = False
    eras: set[int] = set()
    any_era = False
    known_era = 0
    sent_ms = 0

    def list_page(after: str) -> None:
        request = adapter.encode_list(after, stale_ok)
        send_call(
            runtime, client, request, timeout_ms, handle_page, report_failure
        )

    def start_list(command: discovery.ListStore) -> None:
        nonlocal stale_ok, sent_ms, known_era, any_era
        stale_ok = command.stale_ok
        known_era = command.era
        any_era = False
        eras.clear()
        sent_ms = runtime.clock.boot_ms()
        pages.clear()
        list_page('')

    def handle_page(reply: http_reply.HttpReply, era: int | None) -> None:
        nonlocal any_era
        page = adapter.decode_list(reply.body)
        pages.append(page)
        any_era = any_era or era is not None
        eras.add(known_era if era is None else era)
        if len(eras) > 1:
            # Revisions of two eras cannot be compared.
            pages.clear()
            report_failure('mixed_eras', max(eras))
            return
        if page.next_after:
            list_page(page.next_after)
            return
        records = tuple(r for found in pages for r in found.records)
        # With `stale_ok` a later page can be older than the first one. A
        # watch from the lowest revision returns every change that a page
        # lacks.
        revision = min(found.revision for found in pages)
        pages.clear()
        runtime.mailboxes.discovery.put(
            discovery.StoreListed(
                revision, records, sent_ms, min(eras) if any_era else None
            )
        )

    return start_list


def make_watcher(
    runtime: runtimes.GatewayRuntime,
    client: api_client_state.ApiClientState,
) -> Callable[[discovery.WatchStore], None]:
    """Return a function that watches the store for changes."""
    adapter = runtime.adapter
    timeout_ms = runtime.settings.discovery.timeout_ms
    margin_ms = min(timeout_ms, WATCH_MARGIN_MS)
    report_failure = make_failure_report(runtime, WATCH_FAILURES)

    def watch(command: discovery.WatchStore) -> None:
        sent_ms = runtime.clock.boot_ms()

        def handle_changes(
            reply: http_reply.HttpReply, era: int | None
        ) -> None:
            changed = adapter.decode_watch(reply.body)
            runtime.mailboxes.discovery.put(
                dataclasses.replace(changed, sent_ms=sent_ms, era=era)
            )

        request = adapter.encode_watch(command.after_revision, command.wait_ms)
        send_call(
            runtime,
            client,
            request,
            command.wait_ms + margin_ms,
            handle_changes,
            report_failure,
        )

    return watch


def make_node_writer(
    runtime: runtimes.GatewayRuntime,
    client: api_client_state.ApiClientState,
) -> Callable[[discovery.WriteNode], None]:
    """Return a function that writes this node's own key."""
    settings = runtime.settings
    adapter = runtime.adapter
    mailbox = runtime.mailboxes.discovery

    def write(command: discovery.WriteNode) -> None:
        key = adapter.schema.node_prefix + command.node.node_id
        send_call(
            runtime,
            client,
            adapter.encode_put(key, relay.encode_node(command.node)),
            settings.discovery.timeout_ms,
            lambda reply, era: mailbox.put(discovery.NodeWritten(True, era)),
            lambda reason, era: mailbox.put(discovery.NodeWritten(False, era)),
        )

    return write


def make_holder_writer(
    runtime: runtimes.GatewayRuntime,
    client: api_client_state.ApiClientState,
) -> Callable[[quotas.WriteHolder], None]:
    """Return a function that writes a partition's holder, once.

    After any failure but a conflict the entry may have been written, or may
    be written later.
    """
    adapter = runtime.adapter
    mailbox = runtime.mailboxes.quotas

    def write(command: quotas.WriteHolder) -> None:
        record = command.record

        def report(revision: int, conflict: bool) -> None:
            written = quotas.HolderWritten(
                record.partition, revision, conflict
            )
            mailbox.put(written)

        api_client.send_call(
            client,
            adapter.encode_conditional_put(
                f'{adapter.schema.holder_prefix}{record.partition}',
                holders.encode_holder(record),
                record.revision,
            ),
            runtime.settings.discovery.timeout_ms,
            lambda reply: report(adapter.decode_written(reply.body), False),
            lambda reason: report(0, reason == CONFLICT),
        )

    return write
