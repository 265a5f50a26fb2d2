"""Sends or refuses the parts that wait for room."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.admission import planned_part
from gypsumbridge_decisions.admission import planning
from gypsumbridge_decisions.admission import searcher_load
from gypsumbridge_decisions.admission import waiting_part
from gypsumbridge_decisions.forwarding import answer_timing
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import ending
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import finishing
from gypsumbridge_decisions.forwarding import hedge_timer
from gypsumbridge_decisions.forwarding import hedging
from gypsumbridge_decisions.forwarding import part_state
from gypsumbridge_decisions.forwarding import room_timer
from gypsumbridge_decisions.forwarding import searcher_loads
from gypsumbridge_decisions.forwarding import sending
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.forwarding import waiting_for_room

# While parts wait, they are planned again after this time even if no attempt
# has ended, so that a part that can no longer be complete is refused soon.
REPLAN_MS = 50


def handle_room_timer(
    state: states.ForwardingState, timer: room_timer.RoomTimer, now_ms: int
) -> list[command.Command]:
    """Plan the parts of a service again."""
    finishing.record_lag(state, timer.due_ms, now_ms)
    state.room.timers.discard(timer.service)
    state.room.record_change(timer.service)
    return []


def dispatch(
    state: states.ForwardingState, now_ms: int
) -> list[command.Command]:
    """Plan the parts of all services that have changed."""
    commands: list[command.Command] = []
    while state.room.changed:
        service = min(state.room.changed)
        state.room.changed.discard(service)
        commands += dispatch_service(state, service, now_ms)
    return commands


def dispatch_service(
    state: states.ForwardingState, service: str, now_ms: int
) -> list[command.Command]:
    """Send the parts for which there is room, and refuse the hopeless ones."""
    queue = state.room.queues[service]
    if not queue.parts and not queue.displaced:
        return []
    loads = searcher_loads.loads_for(state, service, now_ms)
    plan = planning.plan_queue(queue, loads, now_ms)
    room_ms = max(
        (
            planned.completed_ms - planned.part.work_ms - now_ms
            for planned in plan
            if not planned.is_hopeless()
        ),
        default=0.0,
    )
    commands: list[command.Command] = []
    displaced = queue.displaced
    queue.displaced = []
    for part in displaced:
        found = planned_part.PlannedPart(part, '', False, now_ms + room_ms)
        commands += give_up(state, service, found, loads, room_ms, now_ms)
    for planned in plan:
        if planned.is_hopeless():
            queue.remove(planned.part.call_id)
            commands += give_up(
                state, service, planned, loads, room_ms, now_ms
            )
        elif planned.now:
            commands += send_part(
                state, service, planned, loads, room_ms, now_ms
            )
        else:
            commands += record_wait(state, service, planned, now_ms)
    return commands + set_timer(state, service, loads, now_ms)


def find_part(
    state: states.ForwardingState, service: str, part: waiting_part.WaitingPart
) -> tuple[exchanges.Exchange, part_state.PartState] | None:
    """Return the request and the part, if the request is in progress."""
    exchange = state.exchanges.get(part.call_id)
    if exchange is None:
        return None
    return exchange, exchange.part(service)


def send_part(
    state: states.ForwardingState,
    service: str,
    planned: planned_part.PlannedPart,
    loads: list[searcher_load.SearcherLoad],
    room_ms: float,
    now_ms: int,
) -> list[command.Command]:
    """Send a part to the searcher that has room for it."""
    found = find_part(state, service, planned.part)
    queue = state.room.queues[service]
    if found is None:
        queue.remove(planned.part.call_id)
        return []
    exchange, part = found
    chosen = next(
        candidate
        for candidate in state.searchers[service]
        if candidate.searcher_id == planned.searcher_id
    )
    domains = exchange.domains
    if domains is not None and chosen.failure_domain not in domains:
        # It was registered after the part was queued.
        queue.remove(planned.part.call_id)
        waiting_for_room.wait_for_room(
            state, exchange, part, planned.part.is_repeat
        )
        return []
    budget = sending.budget_for(state, service)
    if planned.part.is_repeat and not budget.spend(now_ms):
        queue.remove(planned.part.call_id)
        # The slot is free for the parts that follow.
        state.room.record_change(service)
        return give_up(state, service, planned, loads, room_ms, now_ms)
    queue.take(planned.part)
    part.waiting = None
    if part.sends == 0 and not planned.part.is_repeat:
        budget.count_request(now_ms)
    max_idle_ms = sending.NO_IDLE_MS if part.needs_new_connection else None
    commands: list[command.Command] = [
        sending.send(state, exchange, part, chosen, now_ms, max_idle_ms)
    ]
    if part.waited_from_ms is None:
        return commands
    waited_ms = now_ms - part.waited_from_ms
    part.waited_from_ms = None
    fields: dict[str, str | int | float] = {
        **describe_part(exchange, service),
        'searcher': planned.searcher_id,
        'waited_ms': waited_ms,
    }
    return [
        *commands,
        messages.Decision('request_sent', 'room', fields),
        messages.Count('forwarding.room.sent'),
        messages.Observe('forwarding.room.wait', waited_ms),
        *postpone_hedge(state, exchange, part, now_ms),
    ]


def postpone_hedge(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    now_ms: int,
) -> list[command.Command]:
    """Set the hedge timer anew, since the part was sent late."""
    if not exchange.route.idempotent:
        return []
    answer_after_ms = answer_timing.answer_after_ms(
        state, exchange.route, exchange.request
    )
    left_ms = exchange.request.arrived_ms + answer_after_ms - now_ms
    delay_ms = hedging.hedge_delay_ms(state, exchange.route, left_ms)
    part.hedge_from_ms = now_ms + delay_ms
    timer = hedge_timer.HedgeTimer(exchange.request.call_id)
    return [messages.Timer(delay_ms, timer)]


def record_wait(
    state: states.ForwardingState,
    service: str,
    planned: planned_part.PlannedPart,
    now_ms: int,
) -> list[command.Command]:
    """Log a part when it begins to wait."""
    found = find_part(state, service, planned.part)
    if found is None or found[1].waited_from_ms is not None:
        return []
    exchange, part = found
    part.waited_from_ms = now_ms
    part.reason = sending.NO_ROOM
    fields: dict[str, str | int | float] = {
        **describe_part(exchange, service),
        'queued': len(state.room.queues[service].parts),
        'expected_ms': int(planned.completed_ms - now_ms),
        'left_ms': exchange.expires_ms - now_ms,
    }
    return [
        messages.Decision('request_waits', sending.NO_ROOM, fields),
        messages.Count('forwarding.room.waited'),
    ]


def give_up(
    state: states.ForwardingState,
    service: str,
    planned: planned_part.PlannedPart,
    loads: list[searcher_load.SearcherLoad],
    room_ms: float,
    now_ms: int,
) -> list[command.Command]:
    """Answer a request whose part cannot be complete in time."""
    found = find_part(state, service, planned.part)
    if found is None:
        return []
    exchange, part = found
    part.waiting = None
    if not part.is_open():
        exchange.open_services.discard(service)
    if not (loads and sending.is_placed(state, exchange, service)):
        sending.record_unusable(state, exchange, part, now_ms)
        return ending.finish_if_complete(state, exchange, now_ms)
    part.reason = sending.NO_ROOM
    slots = sum(load.slots for load in loads)
    first_room_ms = min(load.full_until_ms for load in loads) - now_ms
    delay_ms = state.room.returns[service].next_delay_ms(
        exchange.request.request_id,
        max(room_ms, first_room_ms),
        planned.part.work_ms / slots,
        useful_ms(exchange, now_ms),
        now_ms,
    )
    part.usable_at_ms = now_ms + delay_ms
    fields: dict[str, str | int | float] = {
        **describe_part(exchange, service),
        'expected_ms': int(planned.completed_ms - now_ms),
        'left_ms': exchange.expires_ms - now_ms,
        'retry_after_ms': delay_ms,
    }
    return [
        messages.Decision('request_given_up', sending.NO_ROOM, fields),
        messages.Count('forwarding.room.given_up'),
        *ending.finish_if_complete(state, exchange, now_ms),
    ]


def useful_ms(exchange: exchanges.Exchange, now_ms: int) -> int:
    """Return the time in which a repeated request has its full value.

    If the objective has passed already, it is the time that is left.
    """
    due_ms = exchange.request.arrived_ms + exchange.route.objective_ms
    if due_ms <= now_ms:
        due_ms = exchange.expires_ms
    return min(due_ms, exchange.expires_ms) - now_ms


def describe_part(
    exchange: exchanges.Exchange, service: str
) -> dict[str, str | int | float]:
    """Return the fields that all log lines of these decisions have."""
    return {
        'request_id': exchange.request.request_id,
        'service': service,
        'customer': exchange.request.customer,
        'rank': exchange.rank,
    }


def set_timer(
    state: states.ForwardingState,
    service: str,
    loads: list[searcher_load.SearcherLoad],
    now_ms: int,
) -> list[command.Command]:
    """Return a timer for the next plan while parts wait."""
    if service in state.room.timers or not state.room.queues[service].parts:
        return []
    state.room.timers.add(service)
    delays = [load.full_until_ms - now_ms for load in loads]
    delay_ms = min([REPLAN_MS, *(delay for delay in delays if delay > 0)])
    return [
        messages.Timer(
            delay_ms, room_timer.RoomTimer(service, now_ms + delay_ms)
        )
    ]
