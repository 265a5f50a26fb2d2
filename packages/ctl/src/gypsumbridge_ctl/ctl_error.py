"""Error of a failed command."""

from gypsumbridge_ctl import exit_code


class CtlError(Exception):
    """An error with an exit code and a remedy."""

    def __init__(
        self, code: exit_code.ExitCode, message: str, remedy: str
    ) -> None:
        super().__init__(f'{message}; {remedy}')
        self.code = code
