"""JSON codec of the resource API for operators."""

from gypsumbridge_wire.operator.declaration_body import (
    DeclarationBody as DeclarationBody,
)
from gypsumbridge_wire.operator.decode import (
    decode_declaration as decode_declaration,
)
from gypsumbridge_wire.operator.decode import (
    decode_expected_revision as decode_expected_revision,
)
from gypsumbridge_wire.operator.decode import decode_kind as decode_kind
from gypsumbridge_wire.operator.decode import decode_path as decode_path
from gypsumbridge_wire.operator.decode import decode_spec as decode_spec
from gypsumbridge_wire.operator.decode import RESOURCES_PATH as RESOURCES_PATH
from gypsumbridge_wire.operator.encode import encode_changes as encode_changes
from gypsumbridge_wire.operator.encode import encode_error as encode_error
from gypsumbridge_wire.operator.encode import encode_list as encode_list
from gypsumbridge_wire.operator.encode import encode_nodes as encode_nodes
from gypsumbridge_wire.operator.encode import (
    encode_resource as encode_resource,
)
from gypsumbridge_wire.operator.encode import encode_written as encode_written
from gypsumbridge_wire.operator.encode import (
    make_resource_body as make_resource_body,
)
