"""Root of the exception tree."""


class GypsumbridgeError(Exception):
    """An error with a remedy.

    `message` says what is wrong, naming the field and the value; `remedy`
    says what to do about it.
    """

    code = 'internal'

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f'{message}; {remedy}')
        self.message = message
        self.remedy = remedy
