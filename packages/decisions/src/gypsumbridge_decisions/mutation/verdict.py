"""A command of the claim protocol: answer the caller."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import verdict_kind


@dataclasses.dataclass(frozen=True)
class Verdict:
    """`code` says why a request was refused; `claim` holds an outcome."""

    kind: verdict_kind.VerdictKind
    code: str = ''
    claim: messages.Claim | None = None
