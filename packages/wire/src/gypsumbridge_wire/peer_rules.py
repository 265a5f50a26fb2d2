"""Valid ranges of the values in messages between nodes.

A frame that decodes may still have values that no node of this release
sends. They are rejected here, so that no task has to handle them.
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
# A map of this many shards, with names of five or more characters, does not
# fit into a declared service, whose size limit is one megabyte.
MAX_SHARDS = 65_536
# Exceeds any number of failure domains, and of members in one message.
MAX_ENTRIES = 1_024
# Maximum of admission keys and levels; a level of 64 admits all requests.
MAX_ADMISSION = 64.0
LEAVING_SOURCES = frozenset({'host_list', 'reply', 'operator'})

Rule = Callable[[Any], bool]


def check(message: Any) -> None:
    """Raise FrameError for a message with an invalid value."""
    field = find_invalid_field(message)
    if field:
        raise errors.FrameError(
            f'a peer sent a {type(message).__name__} whose {field} is out of'
            ' range',
            'run nodes of the same release, and keep others off the port',
        )


def find_invalid_field(message: Any) -> str:
    """Return the first field with an invalid value, or ''."""
    for field, is_valid in RULES[type(message)]:
        if not is_valid(getattr(message, field)):
            return field
    return ''


def _is_text(value: str) -> bool:
    return len(value) <= MAX_TEXT_LENGTH


def _is_id(value: str) -> bool:
    return 0 < len(value) <= MAX_TEXT_LENGTH


def _is_header(value: str) -> bool:
    # The value is sent to endpoints in an HTTP header.
    return _is_text(value) and value.isascii() and value.isprintable()


def _between(low: float, high: float) -> Rule:
    # A NaN compares false with both bounds, so it is out of range.
    return lambda value: low <= value <= high


def _or_none(is_valid: Rule) -> Rule:
    return lambda value: value is None or is_valid(value)


def _each_valid(limit: int) -> Rule:
    def is_valid(values: tuple[Any, ...]) -> bool:
        if len(values) > limit:
            return False
        return not any(find_invalid_field(value) for value in values)

    return is_valid


def _is_valid(value: Any) -> bool:
    return not find_invalid_field(value)


def _fields(rule: Rule, *names: str) -> tuple[tuple[str, Rule], ...]:
    return tuple((name, rule) for name in names)


_number = numbers.is_in_range
_age = _or_none(_number)
_remaining = _fields(_between(0, MAX_REMAINING_MS), 'remaining_ms')
_updates = _fields(_each_valid(MAX_ENTRIES), 'updates')

RULES: dict[type, tuple[tuple[str, Rule], ...]] = {
    messages.ShardBatch: (
        *_fields(_is_id, 'sender', 'query_id', 'service'),
        *_fields(_is_text, 'rank', 'caller'),
        *_fields(_is_header, 'version'),
        *_fields(_number, 'attempt', 'configuration_revision'),
        *_remaining,
        *_fields(_between(0.0, MAX_ADMISSION), 'admission_key'),
        *_fields(_each_valid(MAX_SHARDS), 'calls'),
    ),
    messages.ShardCall: _fields(_is_id, 'shard', 'replica_set'),
    messages.PartBatch: (
        *_fields(_is_id, 'sender', 'query_id'),
        *_fields(_number, 'attempt', 'configuration_revision'),
        *_fields(_each_valid(MAX_SHARDS), 'parts', 'levels'),
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
        *_fields(_is_valid, 'sender'),
        *_fields(_is_id, 'origin'),
        *_fields(_number, 'sequence'),
        *_updates,
    ),
    messages.ProbeRequest: (
        *_fields(_is_valid, 'sender', 'target'),
        *_fields(_number, 'sequence'),
        *_updates,
    ),
    messages.ProbeAck: (
        *_fields(_is_valid, 'sender', 'subject'),
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
        *_fields(_is_valid, 'report'),
        *_fields(_between(0, MAX_DIGEST), 'digest'),
        *_fields(_is_text, 'after_key'),
        *_fields(_age, 'stamp_ms'),
    ),
    messages.ConfigState: (
        *_fields(_is_id, 'sender', 'failure_domain'),
        *_fields(_number, 'token', 'revision', 'items_revision', 'stamp_ms'),
        *_fields(_age, 'confirmed_age_ms', 'proof_age_ms'),
        *_fields(_each_valid(MAX_SHARDS), 'items'),
        *_fields(_each_valid(MAX_ENTRIES), 'summaries'),
    ),
    messages.StoreItem: (
        *_fields(_is_id, 'key'),
        *_fields(_number, 'revision'),
    ),
    messages.DomainSummary: (
        *_fields(_is_id, 'failure_domain'),
        *_fields(_number, 'revision'),
        *_fields(_age, 'vote_age_ms'),
        *_fields(_is_valid, 'report'),
    ),
}
