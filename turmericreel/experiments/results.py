"""Results of experiments: measured rows, and targets met or missed."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class Row:
    """One row of measured values."""

    case: str
    policy: str
    values: dict[str, float | None]


@dataclass(frozen=True, kw_only=True)
class Target:
    """A bound and the value measured for it.

    Parameters
    ----------
    at_most : bool
        Whether the bound is an upper one; otherwise it is a lower one.
    """

    name: str
    bound: float
    measured: float
    at_most: bool = True

    @property
    def met(self) -> bool:
        """Whether the measured value is within the bound."""
        if self.at_most:
            return self.measured <= self.bound
        return self.measured >= self.bound


@dataclass(frozen=True, kw_only=True)
class Report:
    """Result of one experiment."""

    name: str
    seeds: tuple[int, ...]
    rows: tuple[Row, ...]
    targets: tuple[Target, ...]
    notes: tuple[str, ...] = field(default=())


def mean(values) -> float:
    """Return the mean, or 0 if there are no values."""
    listed = list(values)
    return sum(listed) / len(listed) if listed else 0.0


def percentile(values, fraction: float) -> float:
    """Return a percentile without interpolation, or 0 if there are no values.

    It is the element at index `fraction` times the number of values, rounded down, of
    the sorted values.

    Parameters
    ----------
    values : iterable of float
    fraction : float
        The percentile, from 0 to 1.
    """
    ranked = sorted(values)
    if not ranked:
        return 0.0
    return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]
