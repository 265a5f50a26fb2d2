"""A declared resource that is not valid."""

from gypsumbridge_decisions.errors import base


class DeclarationError(base.GypsumbridgeError):
    """A declared resource that is not valid."""

    code = 'bad_declaration'
