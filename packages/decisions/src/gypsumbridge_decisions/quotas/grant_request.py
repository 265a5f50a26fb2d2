"""A request for tokens of a customer's quota."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GrantRequest:
    """Asks the holder of `partition` for `tokens` tokens of `customer`.

    Without tokens it only probes whether the holder answers.
    """

    partition: int
    customer: str
    tokens: int
