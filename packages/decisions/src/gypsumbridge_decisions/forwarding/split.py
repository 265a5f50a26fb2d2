"""Smooth weighted round robin over a route's targets."""

from gypsumbridge_decisions.forwarding import weighted_service


class Split:
    """The current credit of each target."""

    def __init__(
        self, targets: tuple[weighted_service.WeightedService, ...]
    ) -> None:
        self.targets = targets
        self.credits = {target.service: 0.0 for target in targets}

    def next_service(self) -> str:
        """Return the service that is furthest below its share."""
        total = 0.0
        best = self.targets[0].service
        for target in self.targets:
            self.credits[target.service] += target.weight
            total += target.weight
        for service, credit in self.credits.items():
            if credit > self.credits[best]:
                best = service
        self.credits[best] -= total
        return best
