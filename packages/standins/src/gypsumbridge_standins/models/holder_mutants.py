"""Faulty variants of a holder's steps that the check must reject."""

import dataclasses
from typing import Any

from gypsumbridge_decisions import quotas
from gypsumbridge_standins.models import holder_steps


def make_mutants() -> dict[str, holder_steps.HolderSteps]:
    """Return the mutants by the fault that each has."""
    return {
        'grants with an expired proof': holder_steps.HolderSteps(
            may_grant=_ignore_age
        ),
        'grants at once after a takeover': holder_steps.HolderSteps(
            see_record=_skip_wait
        ),
        'grants at once after a restart': holder_steps.HolderSteps(
            see_record=_forget_wait
        ),
        'begins with a proof from before the wait ended': (
            holder_steps.HolderSteps(confirm=_begin_by_clock)
        ),
        'goes on in a new era without a right': holder_steps.HolderSteps(
            see_record=_continue_in_new_era
        ),
        'counts the proof from the answer': holder_steps.HolderSteps(
            confirm=_prove_by_arrival
        ),
        'renews its proof without an entry': holder_steps.HolderSteps(
            confirm=_prove_while_restoring
        ),
    }


def _ignore_age(holding: Any, ttl_ms: int, now_ms: int) -> bool:
    return holding.begin_ms is not None and holding.proven_ms is not None


def _skip_wait(holding: Any, *rest: Any) -> Any:
    seen = quotas.see_record(holding, *rest)
    return dataclasses.replace(seen, wait_until_ms=None)


def _forget_wait(holding: Any, *rest: Any) -> Any:
    seen = quotas.see_record(holding, *rest)
    if holding.record is None:
        return dataclasses.replace(seen, wait_until_ms=None)
    return seen


def _begin_by_clock(
    holding: Any, own_id: str, proven_ms: int, now_ms: int
) -> Any:
    due = holding.wait_until_ms
    if due is not None and due <= now_ms:
        holding = dataclasses.replace(holding, wait_until_ms=None)
    return quotas.confirm(holding, own_id, proven_ms, now_ms)


def _continue_in_new_era(holding: Any, record: Any, *rest: Any) -> Any:
    seen = quotas.see_record(holding, record, *rest)
    known = holding.record
    if known is not None and record.era > known.era:
        return dataclasses.replace(seen, wait_until_ms=None)
    return seen


def _prove_by_arrival(
    holding: Any, own_id: str, proven_ms: int, now_ms: int
) -> Any:
    return quotas.confirm(holding, own_id, now_ms, now_ms)


def _prove_while_restoring(
    holding: Any, own_id: str, proven_ms: int, now_ms: int
) -> Any:
    if holding.restoring:
        return dataclasses.replace(holding, proven_ms=proven_ms)
    return quotas.confirm(holding, own_id, proven_ms, now_ms)
