"""Which baseline a client-side fleet plays."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Policy:
    """A baseline.

    `two_choices` takes the less loaded of two random replicas by a lagging
    report instead of one at random; `ranked` serves urgent ranks first.
    """

    name: str
    two_choices: bool
    ranked: bool


POLICIES = (
    Policy('static-random', two_choices=False, ranked=True),
    Policy('two-choices', two_choices=True, ranked=True),
    Policy('no-ranks', two_choices=False, ranked=False),
)
