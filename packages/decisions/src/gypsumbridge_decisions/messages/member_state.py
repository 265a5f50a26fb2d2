"""What a node believes about a member."""

import enum


class MemberState(enum.StrEnum):
    """Liveness of a member; leaving members own nothing new."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'
