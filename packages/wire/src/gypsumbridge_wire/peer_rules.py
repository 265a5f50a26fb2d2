"""Ranges of the values in messages between nodes.

A frame that decodes may still hold values that no node of this release
sends. They are refused here, so that no task has to expect them.
"""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_wire import addresses
from gypsumbridge_wire import numbers

MAX_REMAINING_MS = 86_400_000
MAX_DIGEST = 2**64 - 1
MAX_TEXT_LENGTH = 1_024
# A map of so many shards, with names of five characters or more, does not
# fit into the one megabyte of a declared service.
MAX_SHARDS = 65_536
# Above every count of failure domains, and of members in one message.
MAX_ENTRIES = 1_024
# Admission keys and levels; a level of 64 admits everything.
MAX_ADMISSION = 64.0
LEAVING_SOURCES = frozenset({'host_list', 'reply', 'operator'})

Rule = Callable[[Any], bool]


def check(message: Any) -> None:
    """Raise FrameError for a value that no node sends."""
    field = find_wrong_field(message)
    if field:
        raise errors.FrameError(
            f'a peer sent a {type(message).__name__} whose {field} is out of'
            ' range',
            'run nodes of the same release, and keep others off the port',
        )


def find_wrong_field(message: Any) -> str:
    """Return the first field that breaks its rule, or ''."""
    for field, holds in RULES[type(message)]:
        if not holds(getattr(message, field)):
            return field
    return ''


def _is_text(value: str) -> bool:
    return len(value) <= MAX_TEXT_LENGTH


def _is_id(value: str) -> bool:
    return 0 < len(value) <= MAX_TEXT_LENGTH


def _is_header(value: str) -> bool:
    # Endpoints get it in an HTTP header.
    return _is_text(value) and value.isascii() and value.isprintable()


def _between(low: float, high: float) -> Rule:
    # Not a number compares false with both ends.
    return lambda value: low <= value <= high


def _or_none(holds: Rule) -> Rule:
    return lambda value: value is None or holds(value)


def _each(limit: int) -> Rule:
    def holds(values: tuple[Any, ...]) -> bool:
        if len(values) > limit:
            return False
        return not any(find_wrong_field(value) for value in values)

    return holds


def _fits(value: Any) -> bool:
    return not find_wrong_field(value)


def _fields(rule: Rule, *names: str) -> tuple[tuple[str, Rule], ...]:
    return tuple((name, rule) for name in names)


_number = numbers.is_number
_age = _or_none(_number)
_remaining = _fields(_between(0, MAX_REMAINING_MS), 'remaining_ms')
_updates = _fields(_each(MAX_ENTRIES), 'updates')

RULES: dict[type, tuple[tuple[str, Rule], ...]] = {
    messages.ShardBatch: (
        *_fields(_is_id, 'sender', 'query_id', 'service'),
        *_fields(_is_text, 'rank', 'caller'),
        *_fields(_is_header, 'version'),
        *_fields(_number, 'attempt', 'configuration_revision'),
        *_remaining,
        *_fields(_between(0.0, MAX_ADMISSION), 'admission_key'),
        *_fields(_each(MAX_SHARDS), 'calls'),
    ),
    messages.ShardCall: _fields(_is_id, 'shard', 'replica_set'),
    messages.PartBatch: (
        *_fields(_is_id, 'sender', 'query_id'),
        *_fields(_number, 'attempt', 'configuration_revision'),
        *_fields(_each(MAX_SHARDS), 'parts', 'levels'),
    ),
    messages.Part: (
        *_fields(_is_id, 'shard'),
        *_fields(_is_text, 'version', 'endpoint'),
        *_fields(_number, 'attempts'),
    ),
    messages.AdmissionLevel: (
        *_fields(_is_id, 'service', 'replica_set'),
        *_fields(_is_text, 'rank'),
        *_fields(_between(0.0, MAX_ADMISSION), 'level'),
    ),
    messages.CancelBatch: (
        *_fields(_is_id, 'sender', 'query_id'),
        *_fields(_number, 'attempt'),
    ),
    messages.OwnerCheck: _fields(_is_id, 'sender'),
    messages.OwnerAlive: _fields(_is_id, 'sender'),
    messages.MutationCall: (
        *_fields(_is_id, 'sender', 'mutation_id', 'service', 'shard'),
        *_fields(_is_id, 'replica_set'),
        *_fields(_is_text, 'rank', 'caller'),
        *_fields(_is_header, 'version', 'idempotency_key'),
        *_remaining,
    ),
    messages.MutationResult: (
        *_fields(_is_id, 'sender', 'mutation_id'),
        *_fields(_is_text, 'endpoint'),
    ),
    messages.EndpointLeaving: (
        *_fields(_is_id, 'sender', 'endpoint'),
        *_fields(LEAVING_SOURCES.__contains__, 'source'),
        *_fields(_number, 'revision'),
    ),
    messages.Introduction: (
        *_fields(_is_id, 'sender'),
        *_fields(addresses.is_address, 'peer_address'),
    ),
    messages.Member: (
        *_fields(_is_id, 'node_id', 'failure_domain'),
        *_fields(addresses.is_address, 'peer_address', 'http_address'),
        *_fields(_number, 'incarnation'),
    ),
    messages.Probe: (
        *_fields(_fits, 'sender'),
        *_fields(_is_id, 'origin'),
        *_fields(_number, 'sequence'),
        *_updates,
    ),
    messages.ProbeRequest: (
        *_fields(_fits, 'sender', 'target'),
        *_fields(_number, 'sequence'),
        *_updates,
    ),
    messages.ProbeAck: (
        *_fields(_fits, 'sender', 'subject'),
        *_fields(_is_id, 'origin'),
        *_fields(_number, 'sequence'),
        *_updates,
    ),
    messages.SubtreeReport: _fields(
        _number, 'lowest', 'nodes', 'lagging', 'target', 'age_ms'
    ),
    messages.ConfigPull: (
        *_fields(_is_id, 'sender', 'failure_domain'),
        *_fields(_number, 'token', 'revision', 'snapshot_revision'),
        *_fields(_fits, 'report'),
        *_fields(_between(0, MAX_DIGEST), 'digest'),
        *_fields(_is_text, 'after_key'),
        *_fields(_age, 'stamp_ms'),
    ),
    messages.ConfigState: (
        *_fields(_is_id, 'sender', 'failure_domain'),
        *_fields(_number, 'token', 'revision', 'items_revision', 'stamp_ms'),
        *_fields(_age, 'confirmed_age_ms', 'proof_age_ms'),
        *_fields(_each(MAX_SHARDS), 'items'),
        *_fields(_each(MAX_ENTRIES), 'summaries'),
    ),
    messages.StoreItem: (
        *_fields(_is_id, 'key'),
        *_fields(_number, 'revision'),
    ),
    messages.DomainSummary: (
        *_fields(_is_id, 'failure_domain'),
        *_fields(_number, 'revision'),
        *_fields(_age, 'vote_age_ms'),
        *_fields(_fits, 'report'),
    ),
}
