"""A priority class of work."""

import dataclasses

from gypsumbridge_decisions import errors


@dataclasses.dataclass(frozen=True)
class Rank:
    """A declared priority class.

    `urgency` 0 is served first. `floor` is the share of slot time in
    [0, 1) that the rank gets while it has work queued, regardless of the
    load of other ranks. `target_ms` is the latency that the rank's callers
    expect.
    """

    name: str
    urgency: int
    floor: float
    target_ms: int


def check_rank(rank: Rank) -> None:
    """Raise DeclarationError if a field is out of range."""
    if rank.urgency < 0:
        raise errors.DeclarationError(
            f'rank {rank.name}: urgency is {rank.urgency}',
            'use 0 for the most urgent rank and larger numbers for less'
            ' urgent ones',
        )
    if not 0 <= rank.floor < 1:
        raise errors.DeclarationError(
            f'rank {rank.name}: floor is {rank.floor}',
            'use a share of at least 0 and less than 1',
        )
    if rank.target_ms <= 0:
        raise errors.DeclarationError(
            f'rank {rank.name}: target_ms is {rank.target_ms}',
            'use a positive number of milliseconds',
        )
