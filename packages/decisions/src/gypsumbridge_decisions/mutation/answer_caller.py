"""An action of the claim protocol: answer the caller."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import answer_kind


@dataclasses.dataclass(frozen=True)
class AnswerCaller:
    """`code` is the reason of a refusal; `claim` holds the outcome."""

    kind: answer_kind.AnswerKind
    code: str = ''
    claim: messages.Claim | None = None
