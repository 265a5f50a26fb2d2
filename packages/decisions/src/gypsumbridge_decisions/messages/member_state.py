"""The state of a member."""

import enum


class MemberState(enum.StrEnum):
    """Liveness of a member; a leaving member gains no ownership."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'
