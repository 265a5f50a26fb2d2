"""The answers of a holder to requests for tokens."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.quotas import answer_grant
from gypsumbridge_decisions.quotas import command
from gypsumbridge_decisions.quotas import customer_limits
from gypsumbridge_decisions.quotas import entitlement
from gypsumbridge_decisions.quotas import grant_asked
from gypsumbridge_decisions.quotas import grant_reply
from gypsumbridge_decisions.quotas import grant_request
from gypsumbridge_decisions.quotas import partition_state
from gypsumbridge_decisions.quotas import state as states
from gypsumbridge_decisions.quotas import token_bucket

# Reasons for which a node cannot tell whether a bucket has tokens.
NOT_HOLDER = 'not_holder'
WAITING = 'waiting'
STALE_PROOF = 'stale_proof'
UNKNOWN_CUSTOMER = 'unknown_customer'
OTHER_PARTITION = 'other_partition'
REFUSALS = frozenset(
    {NOT_HOLDER, WAITING, STALE_PROOF, UNKNOWN_CUSTOMER, OTHER_PARTITION}
)


def receive_ask(
    state: states.QuotaState, asked: grant_asked.GrantAsked, now_ms: int
) -> list[command.Command]:
    """Answer another node."""
    reply = answer(state, asked.request, now_ms)
    commands: list[command.Command] = [
        answer_grant.AnswerGrant(asked.call_id, reply)
    ]
    if reply.refusal:
        commands.append(
            messages.Count(f'quotas.grants_refused.{reply.refusal}')
        )
    elif reply.tokens:
        commands.append(messages.Count('quotas.granted', reply.tokens))
    return commands


def answer(
    state: states.QuotaState,
    request: grant_request.GrantRequest,
    now_ms: int,
) -> grant_reply.GrantReply:
    """Grant tokens, or state when there will be one or why it is unknown.

    A holder's right is checked for each request, since the process may have
    been paused before it.
    """
    if not 0 <= request.partition < len(state.partitions):
        return grant_reply.GrantReply(refusal=OTHER_PARTITION)
    partition = state.partitions[request.partition]
    refusal = find_refusal(state, partition, now_ms)
    if refusal:
        return grant_reply.GrantReply(refusal=refusal)
    if request.tokens <= 0:
        return grant_reply.GrantReply()
    limits = state.limits.get(request.customer)
    if limits is None:
        return grant_reply.GrantReply(refusal=UNKNOWN_CUSTOMER)
    order = state.order(request.customer, limits)
    if request.partition not in order:
        return grant_reply.GrantReply(refusal=OTHER_PARTITION)
    bucket = find_bucket(state, partition, request.customer, limits)
    tokens = bucket.take(request.tokens, now_ms)
    if tokens == request.tokens:
        return grant_reply.GrantReply(tokens, limits.lifetime_ms)
    if not tokens:
        return grant_reply.GrantReply(retry_after_ms=bucket.promise_ms(now_ms))
    return grant_reply.GrantReply(
        tokens, limits.lifetime_ms, bucket.next_token_ms(now_ms)
    )


def find_refusal(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    now_ms: int,
) -> str:
    """Return why this node may not grant, empty if it may."""
    holding = partition.holding
    record = holding.record
    is_named = record is not None and record.node_id == state.policy.node_id
    if not is_named and not holding.restoring:
        return NOT_HOLDER
    if holding.begin_ms is None:
        return WAITING
    ttl_ms = state.policy.holder_ttl_ms
    if not entitlement.may_grant(holding, ttl_ms, now_ms):
        return STALE_PROOF
    return ''


def find_bucket(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    customer: str,
    limits: customer_limits.CustomerLimits,
) -> token_bucket.TokenBucket:
    """Return the bucket of a customer.

    It begins when this process became holder, or later if the customer's
    quota has been divided anew since then.
    """
    bucket = partition.buckets.get(customer)
    if bucket is None:
        begin_ms = partition.holding.begin_ms or 0
        divided_ms = state.repartitioned_ms.get(customer)
        full = partition.holding.full
        if divided_ms is not None and divided_ms > begin_ms:
            begin_ms, full = divided_ms, False
        bucket = token_bucket.TokenBucket(limits, begin_ms, full)
        partition.buckets[customer] = bucket
    return bucket
