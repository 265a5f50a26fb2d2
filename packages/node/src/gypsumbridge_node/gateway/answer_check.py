"""Checks that a response's head is one that a searcher sends."""

import re

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import header_names
from gypsumbridge_node.gateway import http_reply

STATUS_MISDIRECTED = 421
# Visible ASCII without the comma, which separates signatures.
_SIGNATURE = re.compile(r'[!-+\--~]+')


def find_fault(
    names: header_names.HeaderNames,
    command: forwarding.SendAttempt,
    reply: http_reply.HttpReply,
) -> str:
    """Return what is wrong with the head of a response, or an empty string.

    Nothing that such a head states can be relied on, also not that the
    request was not run.
    """
    found = reply.headers
    if len(found.pairs) != len(found.first) and _is_repeated(names, reply):
        return 'repeated_header'
    signature = found.first.get(names.signature)
    if signature is not None and _SIGNATURE.fullmatch(signature) is None:
        return 'malformed_signature'
    searcher_id = found.first.get(names.searcher_id)
    if searcher_id is None or reply.status == STATUS_MISDIRECTED:
        return ''
    if searcher_id != command.searcher.searcher_id:
        return 'other_searcher'
    return ''


def _is_repeated(
    names: header_names.HeaderNames, reply: http_reply.HttpReply
) -> bool:
    """Return whether a header that describes the answer occurs twice."""
    single = {
        names.request_id,
        names.signature,
        names.searcher_id,
        names.not_run,
        names.leaving,
        names.retry_after,
    }
    seen: set[str] = set()
    for name, _ in reply.headers.lowered():
        if name not in single:
            continue
        if name in seen:
            return True
        seen.add(name)
    return False
