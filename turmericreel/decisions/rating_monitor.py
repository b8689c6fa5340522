"""Detects an unavailable rating service, and scores that shift for most versions."""

from dataclasses import dataclass
from math import sqrt

from turmericreel.model.ids import ServiceName, VersionId

FAST_WEIGHT = 1 / 30
SLOW_WEIGHT = 1 / 500
MIN_SCORES = 100
STRONG_SHIFT_Z = 5.0
JOINT_SHIFT_Z = 2.5
DOWN_AFTER_FAILURES = 3
DOWN_PAUSE_S = 5.0
MIN_SD = 0.02


@dataclass(kw_only=True, slots=True)
class ScoreTrack:
    """Recent (fast) and long-run (slow) moving averages of one version's scores."""

    n_scores: int = 0
    fast: float = 0.0
    slow: float = 0.0
    variance: float = 0.0

    def shift(self) -> float:
        """Return the recent mean's deviation from the long-run one, in standard errors.

        It is 0 while the version has fewer than `MIN_SCORES` scores.
        """
        if self.n_scores < MIN_SCORES:
            return 0.0
        sd = max(MIN_SD, sqrt(self.variance))
        return (self.fast - self.slow) / (sd * sqrt(FAST_WEIGHT / (2.0 - FAST_WEIGHT)))


class RatingMonitor:
    """Decides whether the scores of the rating service can be trusted.

    When a single version becomes worse, only its scores shift.  When the scores of
    most versions of a service shift in the same direction at once, the rating service
    is assumed to have changed, and its scores are ignored until they return to the
    long-run means.
    """

    def __init__(self):
        self.tracks: dict[ServiceName, dict[VersionId, ScoreTrack]] = {}
        self.n_failures = 0
        self.down_until = 0.0
        self.untrusted: set[ServiceName] = set()

    def record_failure(self, *, now: float) -> None:
        """Record that an answer could not be rated.

        After `DOWN_AFTER_FAILURES` failures in a row the rating service counts as
        unavailable for `DOWN_PAUSE_S`.
        """
        self.n_failures += 1
        if self.n_failures >= DOWN_AFTER_FAILURES:
            self.down_until = now + DOWN_PAUSE_S

    def record_score(
        self, service: ServiceName, version: VersionId, score: float
    ) -> None:
        """Record a score; the long-run mean is frozen while scores are not trusted."""
        self.n_failures = 0
        trusted = self.trusted(service)
        track = self.tracks.setdefault(service, {}).setdefault(version, ScoreTrack())
        track.n_scores += 1
        fast_weight = max(FAST_WEIGHT, 1.0 / track.n_scores)
        track.fast += fast_weight * (score - track.fast)
        if trusted:
            slow_weight = max(SLOW_WEIGHT, 1.0 / track.n_scores)
            track.slow += slow_weight * (score - track.slow)
            error = (score - track.slow) ** 2
            track.variance += slow_weight * (error - track.variance)
        if self._is_consistent(service):
            self.untrusted.discard(service)
        else:
            self.untrusted.add(service)

    def available(self, *, now: float) -> bool:
        """Return whether the rating service is available."""
        return now >= self.down_until

    def usable(self, service: ServiceName, *, now: float) -> bool:
        """Return whether answers may be held back until they are rated."""
        return self.available(now=now) and service not in self.untrusted

    def trusted(self, service: ServiceName) -> bool:
        """Return whether the scores of a service's versions are trusted."""
        return service not in self.untrusted

    def _is_consistent(self, service: ServiceName) -> bool:
        tracks = self.tracks.get(service)
        if not tracks:
            return True
        shifts = [t.shift() for t in tracks.values() if t.n_scores >= MIN_SCORES]
        if len(shifts) < 2:
            return True
        for sign in (1.0, -1.0):
            n_strong = sum(sign * s > STRONG_SHIFT_Z for s in shifts)
            n_joint = sum(sign * s > JOINT_SHIFT_Z for s in shifts)
            if n_strong >= 1 and n_joint >= 2 and 2 * n_joint > len(shifts):
                return False
        return True
