"""The passage of time in the configuration model."""

import dataclasses

from gypsumbridge_standins.models import configuration_core
from gypsumbridge_standins.models import configuration_state as states


def pass_tick(
    state: states.ModelState, proof_lifetime_ms: int
) -> states.ModelState:
    """Move every time one tick into the past.

    Times older than `proof_lifetime_ms` stay at that age, which bounds the
    number of states.
    """
    replies = tuple(
        r
        and dataclasses.replace(
            r, sent_ms=max(r.sent_ms - 1, -proof_lifetime_ms)
        )
        for r in state.replies
    )
    operators = tuple(
        o
        if o.accepted_ms is None
        else dataclasses.replace(
            o, accepted_ms=max(o.accepted_ms - 1, -proof_lifetime_ms)
        )
        for o in state.operators
    )
    return dataclasses.replace(
        state,
        cores=tuple(configuration_core.age_core(c) for c in state.cores),
        observer=configuration_core.age_core(state.observer),
        replies=replies,
        operators=operators,
    )
