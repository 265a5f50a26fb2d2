"""A call to the configuration store."""

import dataclasses

from gypsumbridge_decisions.messages import store_operation


@dataclasses.dataclass(frozen=True)
class StoreRequest:
    """One call, answered with a `StoreReply` with the same token.

    `key` is a prefix for list and watch. Writes and deletes are
    compare-and-swap operations: they apply only if the key's revision is
    `expected_revision`, where 0 means that the key does not exist. A watch
    returns the events after `after_revision`, or none after `wait_ms`.
    """

    token: str
    operation: store_operation.StoreOperation
    key: str = ''
    value: str = ''
    expected_revision: int = 0
    after_revision: int = 0
    wait_ms: int = 0
