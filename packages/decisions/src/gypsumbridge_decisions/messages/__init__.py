"""Messages between nodes and between tasks; all are frozen."""

import importlib
import typing

if typing.TYPE_CHECKING:
    from gypsumbridge_decisions.messages.accepted_report import (
        AcceptedReport as AcceptedReport,
    )
    from gypsumbridge_decisions.messages.admission_level import (
        AdmissionLevel as AdmissionLevel,
    )
    from gypsumbridge_decisions.messages.announce_leaving import (
        AnnounceLeaving as AnnounceLeaving,
    )
    from gypsumbridge_decisions.messages.answer import Answer as Answer
    from gypsumbridge_decisions.messages.await_accepted import (
        AwaitAccepted as AwaitAccepted,
    )
    from gypsumbridge_decisions.messages.cancel_batch import (
        CancelBatch as CancelBatch,
    )
    from gypsumbridge_decisions.messages.catalog_changed import (
        CatalogChanged as CatalogChanged,
    )
    from gypsumbridge_decisions.messages.claim import Claim as Claim
    from gypsumbridge_decisions.messages.claim_call import (
        ClaimCall as ClaimCall,
    )
    from gypsumbridge_decisions.messages.claim_item import (
        ClaimItem as ClaimItem,
    )
    from gypsumbridge_decisions.messages.claim_outcome import (
        ClaimOutcome as ClaimOutcome,
    )
    from gypsumbridge_decisions.messages.claim_phase import (
        ClaimPhase as ClaimPhase,
    )
    from gypsumbridge_decisions.messages.claim_reply import (
        ClaimReply as ClaimReply,
    )
    from gypsumbridge_decisions.messages.claim_report import (
        ClaimReport as ClaimReport,
    )
    from gypsumbridge_decisions.messages.config_pull import (
        ConfigPull as ConfigPull,
    )
    from gypsumbridge_decisions.messages.config_state import (
        ConfigState as ConfigState,
    )
    from gypsumbridge_decisions.messages.count import Count as Count
    from gypsumbridge_decisions.messages.decision import Decision as Decision
    from gypsumbridge_decisions.messages.domain_summary import (
        DomainSummary as DomainSummary,
    )
    from gypsumbridge_decisions.messages.end_keep_alive import (
        EndKeepAlive as EndKeepAlive,
    )
    from gypsumbridge_decisions.messages.end_requests import (
        EndRequests as EndRequests,
    )
    from gypsumbridge_decisions.messages.endpoint_cancel import (
        EndpointCancel as EndpointCancel,
    )
    from gypsumbridge_decisions.messages.endpoint_check import (
        EndpointCheck as EndpointCheck,
    )
    from gypsumbridge_decisions.messages.endpoint_health import (
        EndpointHealth as EndpointHealth,
    )
    from gypsumbridge_decisions.messages.endpoint_leaving import (
        EndpointLeaving as EndpointLeaving,
    )
    from gypsumbridge_decisions.messages.endpoint_reply import (
        EndpointReply as EndpointReply,
    )
    from gypsumbridge_decisions.messages.endpoint_request import (
        EndpointRequest as EndpointRequest,
    )
    from gypsumbridge_decisions.messages.endpoint_status import (
        EndpointStatus as EndpointStatus,
    )
    from gypsumbridge_decisions.messages.force_query import (
        ForceQuery as ForceQuery,
    )
    from gypsumbridge_decisions.messages.force_report import (
        ForceReport as ForceReport,
    )
    from gypsumbridge_decisions.messages.host_entry import (
        HostEntry as HostEntry,
    )
    from gypsumbridge_decisions.messages.host_list import HostList as HostList
    from gypsumbridge_decisions.messages.in_flight_query import (
        InFlightQuery as InFlightQuery,
    )
    from gypsumbridge_decisions.messages.in_flight_report import (
        InFlightReport as InFlightReport,
    )
    from gypsumbridge_decisions.messages.introduction import (
        Introduction as Introduction,
    )
    from gypsumbridge_decisions.messages.leave_fleet import (
        LeaveFleet as LeaveFleet,
    )
    from gypsumbridge_decisions.messages.leaving_announced import (
        LeavingAnnounced as LeavingAnnounced,
    )
    from gypsumbridge_decisions.messages.member import Member as Member
    from gypsumbridge_decisions.messages.member_state import (
        MemberState as MemberState,
    )
    from gypsumbridge_decisions.messages.members_changed import (
        MembersChanged as MembersChanged,
    )
    from gypsumbridge_decisions.messages.missing_reason import (
        MissingReason as MissingReason,
    )
    from gypsumbridge_decisions.messages.missing_shard import (
        MissingShard as MissingShard,
    )
    from gypsumbridge_decisions.messages.mutation import Mutation as Mutation
    from gypsumbridge_decisions.messages.mutation_answer import (
        MutationAnswer as MutationAnswer,
    )
    from gypsumbridge_decisions.messages.mutation_call import (
        MutationCall as MutationCall,
    )
    from gypsumbridge_decisions.messages.mutation_lookup import (
        MutationLookup as MutationLookup,
    )
    from gypsumbridge_decisions.messages.mutation_resolve import (
        MutationResolve as MutationResolve,
    )
    from gypsumbridge_decisions.messages.mutation_result import (
        MutationResult as MutationResult,
    )
    from gypsumbridge_decisions.messages.observe import Observe as Observe
    from gypsumbridge_decisions.messages.owner_alive import (
        OwnerAlive as OwnerAlive,
    )
    from gypsumbridge_decisions.messages.owner_check import (
        OwnerCheck as OwnerCheck,
    )
    from gypsumbridge_decisions.messages.part import Part as Part
    from gypsumbridge_decisions.messages.part_batch import (
        PartBatch as PartBatch,
    )
    from gypsumbridge_decisions.messages.part_outcome import (
        PartOutcome as PartOutcome,
    )
    from gypsumbridge_decisions.messages.probe import Probe as Probe
    from gypsumbridge_decisions.messages.probe_ack import ProbeAck as ProbeAck
    from gypsumbridge_decisions.messages.probe_request import (
        ProbeRequest as ProbeRequest,
    )
    from gypsumbridge_decisions.messages.query import Query as Query
    from gypsumbridge_decisions.messages.query_gone import (
        QueryGone as QueryGone,
    )
    from gypsumbridge_decisions.messages.refusal import Refusal as Refusal
    from gypsumbridge_decisions.messages.run_state import RunState as RunState
    from gypsumbridge_decisions.messages.serving_changed import (
        NO_EXPIRY_MS as NO_EXPIRY_MS,
    )
    from gypsumbridge_decisions.messages.serving_changed import (
        ServingChanged as ServingChanged,
    )
    from gypsumbridge_decisions.messages.serving_condition import (
        ServingCondition as ServingCondition,
    )
    from gypsumbridge_decisions.messages.shard_batch import (
        ShardBatch as ShardBatch,
    )
    from gypsumbridge_decisions.messages.shard_call import (
        ShardCall as ShardCall,
    )
    from gypsumbridge_decisions.messages.status_query import (
        StatusQuery as StatusQuery,
    )
    from gypsumbridge_decisions.messages.store_item import (
        StoreItem as StoreItem,
    )
    from gypsumbridge_decisions.messages.store_operation import (
        StoreOperation as StoreOperation,
    )
    from gypsumbridge_decisions.messages.store_reply import (
        StoreReply as StoreReply,
    )
    from gypsumbridge_decisions.messages.store_request import (
        StoreRequest as StoreRequest,
    )
    from gypsumbridge_decisions.messages.store_status import (
        StoreStatus as StoreStatus,
    )
    from gypsumbridge_decisions.messages.subtree_report import (
        SubtreeReport as SubtreeReport,
    )
    from gypsumbridge_decisions.messages.task_status import (
        TaskStatus as TaskStatus,
    )
    from gypsumbridge_decisions.messages.timer import Timer as Timer
    from gypsumbridge_decisions.messages.to_address import (
        ToAddress as ToAddress,
    )
    from gypsumbridge_decisions.messages.to_peer import ToPeer as ToPeer

_MODULES = {
    'AcceptedReport': 'accepted_report',
    'AdmissionLevel': 'admission_level',
    'AnnounceLeaving': 'announce_leaving',
    'Answer': 'answer',
    'AwaitAccepted': 'await_accepted',
    'CancelBatch': 'cancel_batch',
    'CatalogChanged': 'catalog_changed',
    'Claim': 'claim',
    'ClaimCall': 'claim_call',
    'ClaimItem': 'claim_item',
    'ClaimOutcome': 'claim_outcome',
    'ClaimPhase': 'claim_phase',
    'ClaimReply': 'claim_reply',
    'ClaimReport': 'claim_report',
    'ConfigPull': 'config_pull',
    'ConfigState': 'config_state',
    'Count': 'count',
    'Decision': 'decision',
    'DomainSummary': 'domain_summary',
    'EndKeepAlive': 'end_keep_alive',
    'EndRequests': 'end_requests',
    'EndpointCancel': 'endpoint_cancel',
    'EndpointCheck': 'endpoint_check',
    'EndpointHealth': 'endpoint_health',
    'EndpointLeaving': 'endpoint_leaving',
    'EndpointReply': 'endpoint_reply',
    'EndpointRequest': 'endpoint_request',
    'EndpointStatus': 'endpoint_status',
    'ForceQuery': 'force_query',
    'ForceReport': 'force_report',
    'HostEntry': 'host_entry',
    'HostList': 'host_list',
    'InFlightQuery': 'in_flight_query',
    'InFlightReport': 'in_flight_report',
    'Introduction': 'introduction',
    'LeaveFleet': 'leave_fleet',
    'LeavingAnnounced': 'leaving_announced',
    'Member': 'member',
    'MemberState': 'member_state',
    'MembersChanged': 'members_changed',
    'MissingReason': 'missing_reason',
    'MissingShard': 'missing_shard',
    'Mutation': 'mutation',
    'MutationAnswer': 'mutation_answer',
    'MutationCall': 'mutation_call',
    'MutationLookup': 'mutation_lookup',
    'MutationResolve': 'mutation_resolve',
    'MutationResult': 'mutation_result',
    'Observe': 'observe',
    'OwnerAlive': 'owner_alive',
    'OwnerCheck': 'owner_check',
    'Part': 'part',
    'PartBatch': 'part_batch',
    'PartOutcome': 'part_outcome',
    'Probe': 'probe',
    'ProbeAck': 'probe_ack',
    'ProbeRequest': 'probe_request',
    'Query': 'query',
    'QueryGone': 'query_gone',
    'Refusal': 'refusal',
    'RunState': 'run_state',
    'NO_EXPIRY_MS': 'serving_changed',
    'ServingChanged': 'serving_changed',
    'ServingCondition': 'serving_condition',
    'ShardBatch': 'shard_batch',
    'ShardCall': 'shard_call',
    'StatusQuery': 'status_query',
    'StoreItem': 'store_item',
    'StoreOperation': 'store_operation',
    'StoreReply': 'store_reply',
    'StoreRequest': 'store_request',
    'StoreStatus': 'store_status',
    'SubtreeReport': 'subtree_report',
    'TaskStatus': 'task_status',
    'Timer': 'timer',
    'ToAddress': 'to_address',
    'ToPeer': 'to_peer',
}


if not typing.TYPE_CHECKING:

    def __getattr__(name: str) -> typing.Any:
        module = _MODULES.get(name)
        if module is None:
            raise AttributeError(f'{__name__} has no {name}')
        found = importlib.import_module(f'{__name__}.{module}')
        globals()[name] = getattr(found, name)
        return globals()[name]
