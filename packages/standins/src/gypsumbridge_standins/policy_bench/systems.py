"""The systems that the bench compares, as functions of a query."""

from gypsumbridge_decisions import messages
from gypsumbridge_standins.policy_bench import load
from gypsumbridge_standins.policy_bench import tally as tallies
from gypsumbridge_standins.policy_bench.baseline import client_fleet
from gypsumbridge_standins.policy_bench.baseline import client_run
from gypsumbridge_standins.policy_bench.baseline import policy as policies
from gypsumbridge_standins.policy_bench.baseline import replica_choice
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.replay import replay as replays

PRODUCT = 'product'


def policy_names() -> tuple[str, ...]:
    """Return the names of the product and the baselines."""
    return (PRODUCT, *(policy.name for policy in policies.POLICIES))


def start(
    name: str, replay: replays.Replay, tally: tallies.Tally, seed: int
) -> load.Submit:
    """Start a system and return the function that submits a query to it."""
    for policy in policies.POLICIES:
        if policy.name == name:
            return _start_baseline(policy, replay, tally, seed)
    return _start_product(replay, tally)


def _start_product(
    replay: replays.Replay, tally: tallies.Tally
) -> load.Submit:
    replay.on_answer = lambda node_id, result: tally.record_result(
        result, replay.scheduler.now_ms()
    )

    def record_decision(node_id: str, decision: messages.Decision) -> None:
        if decision.name != 'send_to_endpoint':
            return
        fields = decision.fields
        received = not replay.endpoints[str(fields['endpoint'])].down
        tally.record_attempt(
            str(fields['query']), str(fields['shard']), received
        )

    replay.on_decision = record_decision
    return lambda node_id, query: delivery.deliver(replay, node_id, query)


def _start_baseline(
    policy: policies.Policy,
    replay: replays.Replay,
    tally: tallies.Tally,
    seed: int,
) -> load.Submit:
    declared = next(iter(replay.nodes.values())).front.catalog
    fleet = client_fleet.ClientFleet(
        replay,
        declared,
        policy,
        tally,
        lambda result: tally.record_result(result, replay.scheduler.now_ms()),
        seed,
    )
    if policy.two_choices:
        replica_choice.report_loads(fleet)
    return lambda node_id, query: client_run.submit_query(
        fleet, node_id, query
    )
