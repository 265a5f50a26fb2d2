"""Which nodes are alive: probes, suspicions and incarnations."""

from gypsumbridge_decisions.membership.command import Command as Command
from gypsumbridge_decisions.membership.constants import (
    MAX_MESSAGE_UPDATES as MAX_MESSAGE_UPDATES,
)
from gypsumbridge_decisions.membership.dissemination_timer import (
    DisseminationTimer as DisseminationTimer,
)
from gypsumbridge_decisions.membership.handler import handle as handle
from gypsumbridge_decisions.membership.hosts import take_hosts as take_hosts
from gypsumbridge_decisions.membership.indirect_probe_timer import (
    IndirectProbeTimer as IndirectProbeTimer,
)
from gypsumbridge_decisions.membership.leaving import announce as announce
from gypsumbridge_decisions.membership.leaving import sign_off as sign_off
from gypsumbridge_decisions.membership.live_index import LiveIndex as LiveIndex
from gypsumbridge_decisions.membership.member_record import (
    MemberRecord as MemberRecord,
)
from gypsumbridge_decisions.membership.pending_probe import (
    PendingProbe as PendingProbe,
)
from gypsumbridge_decisions.membership.probe_tick import ProbeTick as ProbeTick
from gypsumbridge_decisions.membership.probing import ask_others as ask_others
from gypsumbridge_decisions.membership.probing import (
    random_members as random_members,
)
from gypsumbridge_decisions.membership.probing import (
    receive_ack as receive_ack,
)
from gypsumbridge_decisions.membership.probing import (
    receive_probe as receive_probe,
)
from gypsumbridge_decisions.membership.probing import (
    receive_request as receive_request,
)
from gypsumbridge_decisions.membership.probing import send_probe as send_probe
from gypsumbridge_decisions.membership.probing import tick as tick
from gypsumbridge_decisions.membership.publish import (
    publish_changes as publish_changes,
)
from gypsumbridge_decisions.membership.self_suspicion import (
    acknowledge as acknowledge,
)
from gypsumbridge_decisions.membership.self_suspicion import (
    check_gap as check_gap,
)
from gypsumbridge_decisions.membership.self_suspicion import (
    make_condition as make_condition,
)
from gypsumbridge_decisions.membership.state import (
    make_membership_state as make_membership_state,
)
from gypsumbridge_decisions.membership.state import (
    MembershipState as MembershipState,
)
from gypsumbridge_decisions.membership.suspicion import expire as expire
from gypsumbridge_decisions.membership.suspicion import forget as forget
from gypsumbridge_decisions.membership.suspicion import suspect as suspect
from gypsumbridge_decisions.membership.suspicion import (
    suspicion_ms as suspicion_ms,
)
from gypsumbridge_decisions.membership.updates import accept as accept
from gypsumbridge_decisions.membership.updates import learn as learn
from gypsumbridge_decisions.membership.updates import refute as refute
from gypsumbridge_decisions.membership.updates import (
    retransmissions as retransmissions,
)
from gypsumbridge_decisions.membership.updates import (
    spread_rounds as spread_rounds,
)
from gypsumbridge_decisions.membership.updates import supersedes as supersedes
from gypsumbridge_decisions.membership.updates import (
    take_updates as take_updates,
)
