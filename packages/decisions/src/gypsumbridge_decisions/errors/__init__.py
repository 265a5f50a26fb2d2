"""The exception hierarchy."""

from gypsumbridge_decisions.errors.base import (
    GypsumbridgeError as GypsumbridgeError,
)
from gypsumbridge_decisions.errors.busy import BusyError as BusyError
from gypsumbridge_decisions.errors.compacted import (
    CompactedError as CompactedError,
)
from gypsumbridge_decisions.errors.conflict import (
    ConflictError as ConflictError,
)
from gypsumbridge_decisions.errors.declaration import (
    DeclarationError as DeclarationError,
)
from gypsumbridge_decisions.errors.frame import FrameError as FrameError
from gypsumbridge_decisions.errors.invariant import (
    InvariantError as InvariantError,
)
from gypsumbridge_decisions.errors.method_not_allowed import (
    MethodNotAllowedError as MethodNotAllowedError,
)
from gypsumbridge_decisions.errors.not_found import (
    NotFoundError as NotFoundError,
)
from gypsumbridge_decisions.errors.outcome_unknown import (
    OutcomeUnknownError as OutcomeUnknownError,
)
from gypsumbridge_decisions.errors.request import RequestError as RequestError
from gypsumbridge_decisions.errors.settings import (
    SettingsError as SettingsError,
)
from gypsumbridge_decisions.errors.store_unavailable import (
    StoreUnavailableError as StoreUnavailableError,
)
from gypsumbridge_decisions.errors.too_large import (
    TooLargeError as TooLargeError,
)
