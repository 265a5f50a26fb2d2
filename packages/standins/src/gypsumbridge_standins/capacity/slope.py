"""A cost as a function of a size."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Slope:
    """Measured points (size, cost) and the line fitted to them.

    `size_unit` and `cost_unit` name what the numbers count.
    """

    name: str
    size_unit: str
    cost_unit: str
    points: tuple[tuple[float, float], ...]
    intercept: float
    per_unit: float

    def cost_at(self, size: float) -> float:
        """Return the cost of a size by the fitted line."""
        return self.intercept + self.per_unit * size


def fit_slope(
    name: str,
    size_unit: str,
    cost_unit: str,
    points: list[tuple[float, float]],
) -> Slope:
    """Fit a line by least squares.

    Raises ValueError for fewer than four points.
    """
    if len(points) < 4:
        raise ValueError('a slope needs at least four points')
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    joint = sum((x - mean_x) * (y - mean_y) for x, y in points)
    per_unit = joint / spread
    return Slope(
        name,
        size_unit,
        cost_unit,
        tuple(points),
        mean_y - per_unit * mean_x,
        per_unit,
    )
