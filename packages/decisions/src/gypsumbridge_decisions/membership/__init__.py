"""SWIM membership: probes, suspicion and incarnations."""

from gypsumbridge_decisions.membership.command import Command as Command
from gypsumbridge_decisions.membership.constants import (
    MAX_MESSAGE_UPDATES as MAX_MESSAGE_UPDATES,
)
from gypsumbridge_decisions.membership.dissemination_timer import (
    DisseminationTimer as DisseminationTimer,
)
from gypsumbridge_decisions.membership.handler import handle as handle
from gypsumbridge_decisions.membership.hosts import (
    apply_host_list as apply_host_list,
)
from gypsumbridge_decisions.membership.indirect_probe_timer import (
    IndirectProbeTimer as IndirectProbeTimer,
)
from gypsumbridge_decisions.membership.leaving import (
    announce_leaving as announce_leaving,
)
from gypsumbridge_decisions.membership.leaving import leave as leave
from gypsumbridge_decisions.membership.live_index import LiveIndex as LiveIndex
from gypsumbridge_decisions.membership.member_record import (
    MemberRecord as MemberRecord,
)
from gypsumbridge_decisions.membership.pending_probe import (
    PendingProbe as PendingProbe,
)
from gypsumbridge_decisions.membership.probe_tick import ProbeTick as ProbeTick
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
    receive_probe_request as receive_probe_request,
)
from gypsumbridge_decisions.membership.probing import (
    request_indirect_probes as request_indirect_probes,
)
from gypsumbridge_decisions.membership.probing import (
    run_probe_round as run_probe_round,
)
from gypsumbridge_decisions.membership.probing import send_probe as send_probe
from gypsumbridge_decisions.membership.publish import (
    publish_changes as publish_changes,
)
from gypsumbridge_decisions.membership.self_suspicion import (
    check_gap as check_gap,
)
from gypsumbridge_decisions.membership.self_suspicion import (
    make_condition as make_condition,
)
from gypsumbridge_decisions.membership.self_suspicion import (
    record_acknowledgement as record_acknowledgement,
)
from gypsumbridge_decisions.membership.state import (
    make_membership_state as make_membership_state,
)
from gypsumbridge_decisions.membership.state import (
    MembershipState as MembershipState,
)
from gypsumbridge_decisions.membership.suspicion import (
    expire_suspicions as expire_suspicions,
)
from gypsumbridge_decisions.membership.suspicion import (
    remove_expired as remove_expired,
)
from gypsumbridge_decisions.membership.suspicion import suspect as suspect
from gypsumbridge_decisions.membership.suspicion import (
    suspicion_timeout_ms as suspicion_timeout_ms,
)
from gypsumbridge_decisions.membership.updates import (
    accept_update as accept_update,
)
from gypsumbridge_decisions.membership.updates import (
    apply_update as apply_update,
)
from gypsumbridge_decisions.membership.updates import (
    dissemination_rounds as dissemination_rounds,
)
from gypsumbridge_decisions.membership.updates import refute as refute
from gypsumbridge_decisions.membership.updates import (
    retransmissions as retransmissions,
)
from gypsumbridge_decisions.membership.updates import (
    select_updates as select_updates,
)
from gypsumbridge_decisions.membership.updates import supersedes as supersedes
