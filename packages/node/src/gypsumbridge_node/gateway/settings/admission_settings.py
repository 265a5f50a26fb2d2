"""The [admission] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AdmissionSettings:
    """Whether requests wait for room at searchers, by rank and customer.

    Without `control_load`, and where the configuration has no customers, they
    are sent at once.
    """

    control_load: bool = False
