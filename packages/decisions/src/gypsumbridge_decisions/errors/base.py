"""The base class of all errors."""


class GypsumbridgeError(Exception):
    """An error with a remedy.

    `message` describes the error and names the field and its value;
    `remedy` describes how to resolve it.
    """

    code = 'internal'

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f'{message}; {remedy}')
        self.message = message
        self.remedy = remedy
