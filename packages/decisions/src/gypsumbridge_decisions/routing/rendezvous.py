"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable
import math

import xxhash

HASH_RANGE = 2.0**64


def weight(candidate: str, key: str) -> int:
    """Return the 64-bit rendezvous weight of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f'{candidate}\0{key}'.encode())


def ordered(candidates: Iterable[str], key: str) -> list[str]:
    """Return the candidates, highest weight first."""
    return sorted(candidates, key=lambda c: (-weight(c, key), c))


def weighted_score(candidate: str, key: str, share: float) -> float:
    """Return a score that is highest in proportion to `share`.

    `share` must be above 0.
    """
    uniform = (weight(candidate, key) + 1) / (HASH_RANGE + 2)
    return -share / math.log(uniform)
