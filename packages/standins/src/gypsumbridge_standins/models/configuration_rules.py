"""The rules of the model, and mutants that the check must reject."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_decisions import configuration

# One tick each; steps within a tick occur in any order.
ONE_TICK_BOUNDS = configuration.Bounds(
    proof_lifetime_ms=1, max_report_age_ms=1
)
NO_WAIT_BOUNDS = configuration.Bounds(proof_lifetime_ms=1, max_report_age_ms=0)


@dataclasses.dataclass(frozen=True)
class Rules:
    """The decisions' own functions, of which a mutant replaces one."""

    hold_revision: Callable[..., configuration.Core] = (
        configuration.hold_revision
    )
    record_confirmation: Callable[..., configuration.Core] = (
        configuration.record_confirmation
    )
    may_accept_work: Callable[..., bool] = configuration.may_accept_work
    is_accepted: Callable[..., bool] = configuration.is_accepted
    bounds: configuration.Bounds = ONE_TICK_BOUNDS
    restart_bounds: configuration.Bounds = ONE_TICK_BOUNDS
    timer_only: bool = False


def accept_when_stored(core: configuration.Core, holding: object) -> bool:
    """Accept as soon as the store has confirmed the write."""
    return True


def hold_any(core: configuration.Core, revision: int) -> configuration.Core:
    """Adopt every revision, also a lower one."""
    return dataclasses.replace(core, revision=revision)


def confirm_from_before_start(
    core: configuration.Core, revision: int, at_ms: int
) -> configuration.Core:
    """Count a confirmation from before the node's start."""
    early = dataclasses.replace(core, started_ms=configuration.NEVER_MS)
    confirmed = configuration.record_confirmation(early, revision, at_ms)
    return dataclasses.replace(confirmed, started_ms=core.started_ms)


def make_mutants() -> dict[str, tuple[Rules, str]]:
    """Return the mutants by name, with the invariant that each violates."""
    return {
        'accept_when_stored': (
            Rules(is_accepted=accept_when_stored),
            'no_stale_service',
        ),
        'freshness_in_timer': (Rules(timer_only=True), 'no_stale_service'),
        'hold_any': (Rules(hold_revision=hold_any), 'no_revert'),
        'recover_from_early_votes': (
            Rules(restart_bounds=NO_WAIT_BOUNDS),
            'no_stale_service',
        ),
        'confirm_from_before_start': (
            Rules(record_confirmation=confirm_from_before_start),
            'no_stale_service',
        ),
    }
