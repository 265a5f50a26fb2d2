"""Runs a case and turns its outcome into an exit status."""

from collections.abc import Callable
import pathlib
import sys
import traceback

from harness_2 import deployment as deployments

CANNOT_RUN = 2


def run(
    folder: pathlib.Path,
    zones: tuple[str, ...],
    judge: Callable[[deployments.Deployment], int],
) -> None:
    """Exit with what `judge` returns, or with 2 if it cannot finish."""
    try:
        deployment = deployments.Deployment(folder / 'record.txt', zones)
    except deployments.CannotRunError as error:
        print(error, file=sys.stderr)
        sys.exit(CANNOT_RUN)
    try:
        status = judge(deployment)
    except Exception:
        traceback.print_exc()
        status = CANNOT_RUN
    finally:
        deployment.stop()
    sys.exit(status)
