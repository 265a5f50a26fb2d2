"""The refusal of a request."""

import dataclasses

from gypsumbridge_decisions.messages import missing_shard
from gypsumbridge_decisions.messages import run_state


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a request was refused, whether it was run, and the remedy.

    `missing` lists the shards without a result if a query was refused for
    insufficient coverage. `idempotency_key` is empty for a query.
    """

    query_id: str
    request_id: str
    code: str
    run_state: run_state.RunState
    message: str
    remedy: str
    missing: tuple[missing_shard.MissingShard, ...] = ()
    idempotency_key: str = ''
