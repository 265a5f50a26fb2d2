"""Quotas of customers over all nodes, in leased partitions."""

from gypsumbridge_decisions.quotas.admission_cancelled import (
    AdmissionCancelled as AdmissionCancelled,
)
from gypsumbridge_decisions.quotas.admission_request import (
    AdmissionRequest as AdmissionRequest,
)
from gypsumbridge_decisions.quotas.admission_result import (
    AdmissionOutcome as AdmissionOutcome,
)
from gypsumbridge_decisions.quotas.admission_result import (
    AdmissionResult as AdmissionResult,
)
from gypsumbridge_decisions.quotas.answer_grant import (
    AnswerGrant as AnswerGrant,
)
from gypsumbridge_decisions.quotas.ask_holder import AskHolder as AskHolder
from gypsumbridge_decisions.quotas.grant_asked import GrantAsked as GrantAsked
from gypsumbridge_decisions.quotas.grant_reply import GrantReply as GrantReply
from gypsumbridge_decisions.quotas.grant_request import (
    GrantRequest as GrantRequest,
)
from gypsumbridge_decisions.quotas.holder_answered import (
    HolderAnswered as HolderAnswered,
)
from gypsumbridge_decisions.quotas.holder_failed import (
    HolderFailed as HolderFailed,
)
from gypsumbridge_decisions.quotas.holder_record import (
    HolderRecord as HolderRecord,
)
from gypsumbridge_decisions.quotas.holder_written import (
    HolderWritten as HolderWritten,
)
from gypsumbridge_decisions.quotas.holders_changed import (
    HoldersChanged as HoldersChanged,
)
from gypsumbridge_decisions.quotas.quota import Quota as Quota
from gypsumbridge_decisions.quotas.quota_policy import (
    QuotaPolicy as QuotaPolicy,
)
from gypsumbridge_decisions.quotas.quotas_changed import (
    QuotasChanged as QuotasChanged,
)
from gypsumbridge_decisions.quotas.write_holder import (
    WriteHolder as WriteHolder,
)
