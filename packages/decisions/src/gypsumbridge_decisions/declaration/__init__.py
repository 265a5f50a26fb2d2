"""Decisions on operators' writes to declared resources."""

from gypsumbridge_decisions.declaration.names import check_name as check_name
from gypsumbridge_decisions.declaration.outcome import (
    find_delete_outcome as find_delete_outcome,
)
from gypsumbridge_decisions.declaration.outcome import (
    find_write_outcome as find_write_outcome,
)
from gypsumbridge_decisions.declaration.prepare import (
    prepare_delete as prepare_delete,
)
from gypsumbridge_decisions.declaration.prepare import (
    prepare_write as prepare_write,
)
from gypsumbridge_decisions.declaration.prepared_write import (
    PreparedWrite as PreparedWrite,
)
from gypsumbridge_decisions.declaration.references import (
    check_references as check_references,
)
from gypsumbridge_decisions.declaration.references import (
    check_unused as check_unused,
)
from gypsumbridge_decisions.declaration.write_action import (
    WriteAction as WriteAction,
)
from gypsumbridge_decisions.declaration.write_outcome import (
    WriteOutcome as WriteOutcome,
)
