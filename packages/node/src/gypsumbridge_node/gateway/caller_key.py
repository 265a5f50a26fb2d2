"""Separation of a caller's key from the headers of its request."""

from collections.abc import Iterable

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import header_names

Pairs = tuple[tuple[str, str], ...]
# What HTTP allows around the value of a header.
_WHITESPACE = ' \t'


def separate_key(
    names: header_names.HeaderNames, headers: Iterable[tuple[str, str]]
) -> tuple[Pairs, bytes]:
    """Return the headers without key and customer, and the key's digest.

    Searchers may read `_` in a name as `-`, so both headers are removed in
    that spelling too. Only the key's published name is read.
    """
    kept = []
    keys = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == names.key:
            keys.append(value.strip(_WHITESPACE))
        elif lowered.replace('_', '-') not in (names.key, names.customer):
            kept.append((name, value))
    return tuple(kept), forwarding.digest_keys(keys)
