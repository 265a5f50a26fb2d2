"""Keys of the configuration that identify no customer."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SkippedKeys:
    """How many keys of these customers are not used, and why.

    The reason is `listed_twice` for keys that several customers have, and
    `unusable` for those that no caller can send.
    """

    customers: tuple[str, ...]
    reason: str
    keys: int
