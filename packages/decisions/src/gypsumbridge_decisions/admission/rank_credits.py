"""Shares of slots between ranks, with a floor for each."""

from collections.abc import Mapping
from collections.abc import MutableMapping
from collections.abc import Sequence
from typing import TypeVar

# Largest credit, in dispatches. It limits how long a rank that had to wait
# can occupy the slots afterwards.
MAX_CREDIT = 4.0

_Rank = TypeVar('_Rank', int, str)


def choose_by_credit(
    backlogged: Sequence[_Rank], credits: Mapping[_Rank, float]
) -> _Rank:
    """Return the rank that gets the next slot.

    That with the largest credit is chosen if it is at least one dispatch,
    otherwise the first one, which is the most urgent.
    """
    chosen = backlogged[0]
    best = 1.0
    for rank in backlogged:
        credit = credits.get(rank, 0.0)
        if credit >= best and (credit > best or best == 1.0):
            chosen = rank
            best = credit
    return chosen


def settle_credits(
    floors: Mapping[_Rank, float],
    credits: MutableMapping[_Rank, float],
    chosen: _Rank,
) -> None:
    """Credit each backlogged rank with its floor, and charge the chosen one.

    `floors` holds the backlogged ranks.
    """
    for rank, floor in floors.items():
        credit = credits.get(rank, 0.0) + floor
        if rank == chosen:
            credit = max(credit - 1.0, 0.0)
        credits[rank] = min(credit, MAX_CREDIT)
