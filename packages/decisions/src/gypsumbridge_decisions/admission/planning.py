"""Expected completion of the parts that wait."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from gypsumbridge_decisions.admission import deferral
from gypsumbridge_decisions.admission import planned_part
from gypsumbridge_decisions.admission import room_queue
from gypsumbridge_decisions.admission import searcher_load
from gypsumbridge_decisions.admission import waiting_part


def plan_queue(
    queue: room_queue.RoomQueue,
    loads: Sequence[searcher_load.SearcherLoad],
    now_ms: int,
) -> list[planned_part.PlannedPart]:
    """Return the plan of all parts, given those before them.

    Parts that would be late go behind the others of their rank. In an
    overload all would be late otherwise, since each would wait almost until
    its deadline.
    """
    plan = plan_parts(queue, loads, now_ms)
    late = [
        planned.part
        for planned in plan
        if is_newly_late(queue, planned) and not planned.is_hopeless()
    ]
    if late:
        for part in late:
            queue.defer(part)
        plan = plan_parts(queue, loads, now_ms)
    return [extrapolate(queue, planned, now_ms) for planned in plan]


def plan_parts(
    queue: room_queue.RoomQueue,
    loads: Sequence[searcher_load.SearcherLoad],
    now_ms: int,
) -> list[planned_part.PlannedPart]:
    """Return the plan of each part at its present place.

    A part that is refused or deferred takes no slot from those that follow.
    """
    taken: collections.Counter[str] = collections.Counter()
    plan = []
    for part in queue.in_order():
        planned = plan_part(part, loads, taken, now_ms)
        if not planned.is_hopeless() and not is_newly_late(queue, planned):
            taken[planned.searcher_id] += 1
        plan.append(planned)
    return plan


def is_newly_late(
    queue: room_queue.RoomQueue, planned: planned_part.PlannedPart
) -> bool:
    """Return whether a part is late that is not deferred yet."""
    return planned.is_late() and planned.part.call_id not in queue.deferred


def extrapolate(
    queue: room_queue.RoomQueue,
    planned: planned_part.PlannedPart,
    now_ms: int,
) -> planned_part.PlannedPart:
    """Return the plan of a part with the time that it has lost to others."""
    call_id = planned.part.call_id
    if planned.now or call_id not in queue.deferred:
        return planned
    found = queue.deferred[call_id]
    if found is None:
        found = deferral.Deferral(now_ms, planned.completed_ms)
        queue.deferred[call_id] = found
    progress = queue.progress[planned.part.rank]
    progress.observe(found, planned.completed_ms, now_ms)
    completed_ms = progress.extrapolate_ms(planned.completed_ms, now_ms)
    return dataclasses.replace(planned, completed_ms=completed_ms)


def plan_part(
    part: waiting_part.WaitingPart,
    loads: Iterable[searcher_load.SearcherLoad],
    taken: collections.Counter[str],
    now_ms: int,
) -> planned_part.PlannedPart:
    """Return where a part is expected to be complete first.

    It waits for a full searcher if that is faster than one with room. Among
    those with room, the penalty counts as well.
    """
    free: tuple[float, float, str, bool] | None = None
    full: tuple[float, str] | None = None
    work_ms = part.work_ms
    for load in loads:
        if load.searcher_id in part.excluded:
            continue
        count = taken[load.searcher_id]
        expected_ms = load.expected_ms(work_ms, count, now_ms)
        if load.has_room(count, now_ms):
            cost = expected_ms + work_ms * load.penalty
            is_idle = load.in_flight + count == 0
            found = (cost, expected_ms, load.searcher_id, is_idle)
            free = found if free is None else min(free, found)
        else:
            waits = (expected_ms, load.searcher_id)
            full = waits if full is None else min(full, waits)
    if free is not None and (full is None or free[1] <= full[0]):
        _, expected_ms, searcher_id, is_idle = free
        return planned_part.PlannedPart(
            part, searcher_id, True, now_ms + expected_ms, is_idle
        )
    if full is not None:
        return planned_part.PlannedPart(part, full[1], False, now_ms + full[0])
    return planned_part.PlannedPart(part, '', False, now_ms)
