"""The policies of the baselines."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Policy:
    """The policy of a baseline.

    With `two_choices` a node uses the less loaded of two random replicas,
    by a delayed load report, instead of one random replica. With `ranked`
    it serves urgent ranks first.
    """

    name: str
    two_choices: bool
    ranked: bool


POLICIES = (
    Policy('static-random', two_choices=False, ranked=True),
    Policy('two-choices', two_choices=True, ranked=True),
    Policy('no-ranks', two_choices=False, ranked=False),
)
