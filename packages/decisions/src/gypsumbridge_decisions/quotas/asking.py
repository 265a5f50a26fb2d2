"""Serves the waiting requests of a customer with tokens of its partitions."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.quotas import admission_result
from gypsumbridge_decisions.quotas import ask as asks
from gypsumbridge_decisions.quotas import ask_holder
from gypsumbridge_decisions.quotas import command
from gypsumbridge_decisions.quotas import customer_limits
from gypsumbridge_decisions.quotas import demand as demands
from gypsumbridge_decisions.quotas import grant
from gypsumbridge_decisions.quotas import grant_reply
from gypsumbridge_decisions.quotas import grant_request
from gypsumbridge_decisions.quotas import granting
from gypsumbridge_decisions.quotas import partition_order
from gypsumbridge_decisions.quotas import refusing
from gypsumbridge_decisions.quotas import state as states

MAX_ASK_MS = 60
# A request whose first holders do not answer still has time for the others
# and for its own work.
ASK_SHARE_OF_TIME_LEFT = 1 / 6
# The configuration is in force everywhere within 5 s; a holder that does not
# know a customer yet is asked again during that time.
UNKNOWN_CUSTOMER_MS = 1_000
# A partition is asked again after this time, whatever its holder has stated,
# so that a wrong or outdated answer does not silence it.
MAX_EMPTY_MS = 10_000


def serve(
    state: states.QuotaState, customer: str, now_ms: int
) -> list[command.Command]:
    """Use tokens for the waiting requests, and ask for more.

    At most one request for tokens is outstanding for a customer.
    """
    demand = state.demands[customer]
    limits = state.limits.get(customer)
    commands: list[command.Command] = []
    while demand.waiting and limits is not None:
        commands += use_tokens(state, demand, now_ms)
        if not demand.waiting or demand.ask_id:
            break
        partition = choose_partition(state, demand, now_ms)
        if partition is None:
            commands += refuse_all(state, customer, demand, now_ms)
            break
        demand.tried.add(partition)
        commands += ask_partition(
            state, customer, demand, limits, partition, now_ms
        )
    if demand.waiting and limits is None:
        commands += end_without_limits(state, customer, demand, now_ms)
    if not demand.waiting:
        demand.end_round()
    return commands


def use_tokens(
    state: states.QuotaState, demand: demands.Demand, now_ms: int
) -> list[command.Command]:
    """Admit waiting requests, oldest first, while there are tokens."""
    commands: list[command.Command] = []
    while demand.waiting and demand.grants.use(now_ms):
        call_id = next(iter(demand.waiting))
        commands.append(admit(state, demand, call_id))
    return commands


def admit(
    state: states.QuotaState, demand: demands.Demand, call_id: int
) -> admission_result.AdmissionResult:
    """Admit one waiting request."""
    del demand.waiting[call_id]
    del state.waiting[call_id]
    return admission_result.AdmissionResult(
        call_id, admission_result.AdmissionOutcome.ADMITTED
    )


def choose_partition(
    state: states.QuotaState, demand: demands.Demand, now_ms: int
) -> int | None:
    """Return the partition to ask next, or None if none is left.

    If all are in back-off, the one whose back-off ends first is asked, so
    that a node that was cut off notices the end of it.
    """
    rested = [
        p for p in demand.order if not state.back_off.is_active(p, now_ms)
    ]
    if not rested:
        if demand.tried:
            return None
        return min(demand.order, key=state.back_off.until_ms.__getitem__)
    for partition in partition_order.start_with(
        demand.order, demand.last_giver
    ):
        if partition in demand.tried or partition not in rested:
            continue
        if now_ms < demand.empty_until_ms.get(partition, now_ms):
            continue
        if now_ms < demand.unknown_until_ms.get(partition, now_ms):
            continue
        return partition
    return None


def ask_partition(
    state: states.QuotaState,
    customer: str,
    demand: demands.Demand,
    limits: customer_limits.CustomerLimits,
    partition: int,
    now_ms: int,
) -> list[command.Command]:
    """Ask the holder of a partition, which may be this node.

    The tokens are those for the waiting requests and as many as were used in
    the last lifetime. More would take them from other nodes.
    """
    used = demand.grants.count_used(limits.lifetime_ms, now_ms)
    tokens = len(demand.waiting) + used
    request = grant_request.GrantRequest(partition, customer, tokens)
    holder_id = state.partitions[partition].holder_id
    ask = asks.Ask(partition, holder_id, customer, tokens, now_ms)
    if holder_id == state.policy.node_id:
        reply = granting.answer(state, request, now_ms)
        return take_reply(state, demand, ask, reply, now_ms)
    peer = state.peer(holder_id)
    if peer is None:
        return []
    demand.ask_id = state.add_ask(ask)
    left_ms = min(r.deadline_ms for r in demand.waiting.values()) - now_ms
    timeout_ms = min(MAX_ASK_MS, int(left_ms * ASK_SHARE_OF_TIME_LEFT))
    return [
        ask_holder.AskHolder(demand.ask_id, peer, request, max(1, timeout_ms)),
        messages.Count('quotas.asked'),
    ]


def handle_reply(
    state: states.QuotaState,
    ask: asks.Ask,
    reply: grant_reply.GrantReply,
    now_ms: int,
) -> list[command.Command]:
    """Use a holder's reply, and go on with the next partition."""
    demand = state.demands.get(ask.customer)
    if demand is None:
        return []
    demand.ask_id = 0
    return [
        messages.Observe('quotas.grant_ms', now_ms - ask.sent_ms),
        *take_reply(state, demand, ask, reply, now_ms),
        *serve(state, ask.customer, now_ms),
    ]


def handle_failure(
    state: states.QuotaState, ask: asks.Ask, now_ms: int
) -> list[command.Command]:
    """Go on with the next partition after a holder has not answered."""
    demand = state.demands.get(ask.customer)
    if demand is None:
        return []
    demand.ask_id = 0
    return [
        *back_off_from(state, ask, 'unanswered', now_ms),
        *serve(state, ask.customer, now_ms),
    ]


def take_reply(
    state: states.QuotaState,
    demand: demands.Demand,
    ask: asks.Ask,
    reply: grant_reply.GrantReply,
    now_ms: int,
) -> list[command.Command]:
    """Keep the tokens of a reply, or when the partition has one again."""
    partition = ask.partition
    if reply.refusal in (
        granting.UNKNOWN_CUSTOMER,
        granting.OTHER_PARTITION,
    ):
        until_ms = now_ms + UNKNOWN_CUSTOMER_MS
        demand.unknown_until_ms[partition] = until_ms
        return []
    if reply.refusal:
        # The reason names a counter.
        known = reply.refusal in granting.REFUSALS
        reason = reply.refusal if known else 'other'
        return back_off_from(state, ask, reason, now_ms)
    state.back_off.reset(partition)
    limits = state.limits.get(ask.customer)
    if reply.tokens > 0 and limits is not None:
        granted = make_grant(ask, reply, limits.lifetime_ms)
        demand.grants.add(granted)
        demand.last_giver = partition
        if reply.tokens >= ask.tokens:
            # More requests may wait by now, and the bucket may have more.
            if granted.is_valid(now_ms):
                demand.tried.discard(partition)
            return []
    delay_ms = max(1, min(reply.retry_after_ms, MAX_EMPTY_MS))
    demand.empty_until_ms[partition] = now_ms + delay_ms
    demand.empty[partition] = now_ms + delay_ms
    return []


def make_grant(
    ask: asks.Ask, reply: grant_reply.GrantReply, longest_ms: int
) -> grant.Grant:
    """Return the grant of a reply, which is not trusted beyond the request.

    The lifetime counts from the request, so that the tokens are used within
    it after they were granted, however long the reply takes.
    """
    tokens = min(reply.tokens, ask.tokens)
    lifetime_ms = max(0, min(reply.lifetime_ms, longest_ms))
    return grant.Grant(tokens, ask.sent_ms + lifetime_ms)


def back_off_from(
    state: states.QuotaState, ask: asks.Ask, reason: str, now_ms: int
) -> list[command.Command]:
    """Leave a partition alone for a time, unless its holder has changed."""
    if state.partitions[ask.partition].holder_id == ask.holder_id:
        state.back_off.record_failure(ask.partition, now_ms)
    return [messages.Count(f'quotas.ask_failed.{reason}')]


def refuse_all(
    state: states.QuotaState,
    customer: str,
    demand: demands.Demand,
    now_ms: int,
) -> list[command.Command]:
    """Refuse the waiting requests after all partitions were considered."""
    empty = {
        p: until_ms
        for p, until_ms in demand.empty_until_ms.items()
        if until_ms > now_ms
    }
    empty |= demand.empty
    is_over = all(partition in empty for partition in demand.order)
    commands: list[command.Command] = []
    for request in tuple(demand.waiting.values()):
        del state.waiting[request.call_id]
        if is_over:
            earliest_ms = min(empty[p] for p in demand.order)
            commands += refusing.refuse_over_quota(
                state, customer, request, earliest_ms, now_ms
            )
            continue
        commands += refusing.refuse_unknown(
            state, customer, request, 'no_holder', now_ms
        )
    demand.waiting.clear()
    return commands


def end_without_limits(
    state: states.QuotaState,
    customer: str,
    demand: demands.Demand,
    now_ms: int,
) -> list[command.Command]:
    """End what waits for a customer whose limit is gone or not known."""
    commands: list[command.Command] = []
    for request in tuple(demand.waiting.values()):
        if customer in state.quotas:
            commands.append(admit(state, demand, request.call_id))
            continue
        del state.waiting[request.call_id]
        commands += refusing.refuse_unknown(
            state, customer, request, 'unknown_customer', now_ms
        )
    demand.waiting.clear()
    return commands
