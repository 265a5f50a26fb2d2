"""Digests of customers' keys."""

from collections.abc import Iterable
import hashlib

# Far longer than any issued key; bounds the work for a hostile caller.
MAX_KEY_BYTES = 1_024
DIGEST_BYTES = hashlib.sha256().digest_size
# Stands for a key that no customer has, since its length is no digest's.
_UNUSABLE = b'unusable'


def digest_keys(values: Iterable[str]) -> bytes:
    """Return the digest of the key that a request states.

    The result is empty without a key. Several differing keys, an empty one,
    one over `MAX_KEY_BYTES` and one with characters outside ASCII give a
    value that is no key's digest.
    """
    keys = set(values)
    if not keys:
        return b''
    key = keys.pop()
    if keys or not key or len(key) > MAX_KEY_BYTES or not key.isascii():
        return _UNUSABLE
    return hashlib.sha256(key.encode('ascii')).digest()
