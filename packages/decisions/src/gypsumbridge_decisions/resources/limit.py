"""Limits on one rank's use of one service."""

import dataclasses

from gypsumbridge_decisions import errors


@dataclasses.dataclass(frozen=True)
class Limit:
    """A declared limit of a rank on each replica set of a service.

    At most `max_queued` calls wait, and at most `max_slot_share` of the
    replica set's slots run the rank's calls at once (at least one slot).
    """

    name: str
    service: str
    rank: str
    max_queued: int = 256
    max_slot_share: float = 1.0


def check_limit(limit: Limit) -> None:
    """Raise DeclarationError if a field is out of range."""
    if limit.max_queued < 0:
        raise errors.DeclarationError(
            f'limit {limit.name}: max_queued is {limit.max_queued}',
            'use 0 or more',
        )
    if not 0 < limit.max_slot_share <= 1:
        raise errors.DeclarationError(
            f'limit {limit.name}: max_slot_share is {limit.max_slot_share}',
            'use a share above 0 and at most 1',
        )
