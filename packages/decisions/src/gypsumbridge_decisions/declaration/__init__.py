"""Decisions on the writes of operators to declared resources."""

from gypsumbridge_decisions.declaration.names import check_name as check_name
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
from gypsumbridge_decisions.declaration.settle import (
    settle_delete as settle_delete,
)
from gypsumbridge_decisions.declaration.settle import (
    settle_write as settle_write,
)
from gypsumbridge_decisions.declaration.settled import Settled as Settled
from gypsumbridge_decisions.declaration.write_action import (
    WriteAction as WriteAction,
)
