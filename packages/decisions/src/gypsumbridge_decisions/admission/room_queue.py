"""The parts that wait for room at the searchers of one service."""

from collections.abc import Iterator

from gypsumbridge_decisions.admission import deferral
from gypsumbridge_decisions.admission import fair_queue
from gypsumbridge_decisions.admission import progress
from gypsumbridge_decisions.admission import rank_credits
from gypsumbridge_decisions.admission import waiting_part

# More parts than the slots of a service run within a usual deadline would
# only be refused later.
MAX_PARTS = 256
MAX_BYTES = 4 * 1_048_576
# The share of slots that each backlogged rank gets at least.
RANK_FLOOR = 0.1


class RoomQueue:
    """Parts in order of rank, with floors, and by fair shares within a rank.

    `displaced` holds parts that are no longer in the queue and have to be
    refused. `deferred` holds the call ids of late parts, with their expected
    completion once it is known.
    """

    def __init__(self) -> None:
        self.ranks: dict[int, fair_queue.FairQueue] = {}
        self.credits: dict[int, float] = {}
        self.parts: dict[int, waiting_part.WaitingPart] = {}
        self.displaced: list[waiting_part.WaitingPart] = []
        self.deferred: dict[int, deferral.Deferral | None] = {}
        self.progress: dict[int, progress.Progress] = {}
        self.bytes = 0

    def push(self, part: waiting_part.WaitingPart) -> None:
        """Add a part, and displace those for which there is no space left.

        These are the last of the least urgent rank, whoever came first.
        """
        if part.rank not in self.ranks:
            self.ranks[part.rank] = fair_queue.FairQueue()
            self.progress[part.rank] = progress.Progress()
        self.ranks[part.rank].push(part)
        self.parts[part.call_id] = part
        self.bytes += part.size
        while len(self.parts) > MAX_PARTS or self.bytes > MAX_BYTES:
            last = self.ranks[self._backlogged()[-1]].parts[-1].part
            self.remove(last.call_id)
            self.displaced.append(last)

    def remove(self, call_id: int) -> None:
        """Remove a part that is not sent, if it waits."""
        part = self.parts.pop(call_id, None)
        if part is None:
            return
        self.deferred.pop(call_id, None)
        self.bytes -= part.size
        self.ranks[part.rank].remove(part)

    def defer(self, part: waiting_part.WaitingPart) -> None:
        """Move a part behind those of its rank that are not late."""
        self.deferred[part.call_id] = None
        self.ranks[part.rank].defer(part)

    def take(self, part: waiting_part.WaitingPart) -> None:
        """Remove a part that is sent, and charge its rank and customer."""
        floors = dict.fromkeys(self._backlogged(), RANK_FLOOR)
        for rank in self.credits.keys() - floors.keys():
            del self.credits[rank]
        rank_credits.settle_credits(floors, self.credits, part.rank)
        del self.parts[part.call_id]
        self.deferred.pop(part.call_id, None)
        self.bytes -= part.size
        self.ranks[part.rank].take(part)

    def in_order(self) -> Iterator[waiting_part.WaitingPart]:
        """Return the parts in the order in which they would be sent."""
        credits = dict(self.credits)
        lines = {
            rank: [entry.part for entry in self.ranks[rank].parts]
            for rank in self._backlogged()
        }
        positions = dict.fromkeys(lines, 0)
        while positions:
            rank = rank_credits.choose_by_credit(tuple(positions), credits)
            floors = dict.fromkeys(positions, RANK_FLOOR)
            rank_credits.settle_credits(floors, credits, rank)
            yield lines[rank][positions[rank]]
            positions[rank] += 1
            if positions[rank] == len(lines[rank]):
                del positions[rank]
                credits.pop(rank, None)

    def _backlogged(self) -> list[int]:
        """Return the ranks in which parts wait, the most urgent first."""
        return sorted(rank for rank, line in self.ranks.items() if line.parts)
