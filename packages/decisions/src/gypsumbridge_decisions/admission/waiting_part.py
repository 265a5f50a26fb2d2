"""A part of a request that waits for room."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class WaitingPart:
    """The part of the request `call_id` that one service answers.

    `work_ms` is the expected slot time, an assumption until it is
    `measured`. `weight` is the share of slot time that the customer has,
    relative to the others. A response has its full value if the part is
    complete before `due_ms`, and none after `expires_ms`. `size` is in bytes.
    Searchers in `excluded` are not used. A part that `is_repeat` was sent
    before.
    """

    call_id: int
    rank: int
    customer: str
    weight: float
    work_ms: float
    size: int
    due_ms: float
    expires_ms: int
    measured: bool = True
    excluded: frozenset[str] = frozenset()
    is_repeat: bool = False
