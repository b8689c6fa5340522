"""A version whose answers get worse is suspended soon; no other version is."""

from random import Random

from test.decisions.library import SERVICE, SMALL, STRONG
from turmericreel.decisions.change_detector import ScoreSums
from turmericreel.decisions.rollout import standings_of
from turmericreel.decisions.version_health import Evidence, VersionHealthTest
from turmericreel.model.health import HealthState
from turmericreel.model.ids import BackendServerId

MEAN = 0.8
SD = 0.15
IN_SERVICE = {SERVICE: {SMALL, STRONG}}


class HealthTestHarness:
    """Feeds scores to the test one by one and applies the resulting standings."""

    def __init__(self, seed: int = 1):
        self.rng = Random(seed)
        self.test = VersionHealthTest()
        self.standings = {}
        self.now = 0.0

    def rate(self, mean: float, *, version=SMALL, server: str = "s1") -> None:
        """Add one rated answer, then judge."""
        score = min(1.0, max(0.0, self.rng.gauss(mean, SD)))
        sums = ScoreSums(
            n_answers=1, n_rated=1, score_sum=score, square_sum=score * score
        )
        self.add(sums, version=version, server=server)

    def add(self, sums: ScoreSums, *, version=SMALL, server: str = "s1") -> None:
        """Add sums of answers, then judge."""
        evidence = Evidence(
            service=SERVICE,
            version=version,
            server=BackendServerId(server),
            kind="chat",
            sums=sums,
        )
        self.now += 1.0
        self.test.observe([evidence], {(SERVICE, SMALL): MEAN, (SERVICE, STRONG): 0.9})
        self.judge()

    def judge(self) -> None:
        """Apply the changes of standing that the test returns."""
        for judgement in self.test.judge(self.standings, IN_SERVICE, now=self.now):
            self.standings |= standings_of([judgement.standing])

    def state(self, version=SMALL) -> HealthState:
        """Return the health state of a version."""
        standing = self.standings.get((SERVICE, version))
        return standing.state if standing else HealthState.HEALTHY


def test_drop_by_a_third_after_long_service_is_detected_within_the_bound():
    exposures = []
    for seed in range(30):
        harness = HealthTestHarness(seed)
        for n in range(400):
            harness.rate(MEAN, server=f"s{n % 9}")
            harness.rate(0.9, version=STRONG, server=f"s{n % 9}")
        assert harness.state() is HealthState.HEALTHY
        n_bad = 0
        while harness.state() is HealthState.HEALTHY and n_bad < 200:
            harness.rate(MEAN * 2 / 3, server=f"s{n_bad % 9}")
            n_bad += 1
        exposures.append(n_bad)
    assert max(exposures) <= 60


def test_healthy_version_is_not_suspended():
    harness = HealthTestHarness(7)
    for n in range(20_000):
        harness.rate(MEAN, server=f"s{n % 9}")
        assert harness.state() is HealthState.HEALTHY


def test_bad_server_does_not_suspend_its_version():
    harness = HealthTestHarness()
    for n in range(900):
        harness.rate(MEAN, server=f"s{n % 9}")
    for n in range(900):
        server = n % 9
        harness.rate(0.3 if server == 4 else MEAN, server=f"s{server}")
    assert harness.state() is HealthState.HEALTHY
    assert set(harness.test.bad_servers) == {BackendServerId("s4")}


def test_shift_of_the_rating_service_suspends_no_version():
    harness = HealthTestHarness()
    for n in range(300):
        harness.rate(MEAN, server=f"s{n % 9}")
        harness.rate(0.9, version=STRONG, server=f"s{n % 9}")
    for n in range(300):
        harness.rate(MEAN * 0.6, server=f"s{n % 9}")
        harness.rate(0.9 * 0.6, version=STRONG, server=f"s{n % 9}")
    assert harness.state() is HealthState.HEALTHY
    assert harness.state(STRONG) is HealthState.HEALTHY


def test_last_available_version_is_not_suspended():
    harness = HealthTestHarness()
    for n in range(300):
        harness.rate(MEAN, server=f"s{n % 9}")
        harness.rate(0.9, version=STRONG, server=f"s{n % 9}")
    for n in range(100):
        harness.rate(0.3, server=f"s{n % 9}")
    for n in range(200):
        harness.rate(0.3, version=STRONG, server=f"s{n % 9}")
    assert harness.state(SMALL) is HealthState.SUSPENDED
    assert harness.state(STRONG) is HealthState.HEALTHY


def test_failed_answers_suspend_a_version():
    harness = HealthTestHarness()
    good = ScoreSums(n_answers=1)
    bad = ScoreSums(n_answers=1, n_failed=1)
    for n in range(200):
        harness.add(good, server=f"s{n % 9}")
    for n in range(20):
        harness.add(bad, server=f"s{n % 9}")
    assert harness.state() is HealthState.SUSPENDED


def test_one_crash_with_many_answers_suspends_no_version():
    harness = HealthTestHarness()
    for n in range(200):
        harness.add(ScoreSums(n_answers=1), server=f"s{n % 9}")
    harness.add(ScoreSums(n_answers=16, n_failed=16), server="s3")
    assert harness.state() is HealthState.HEALTHY


def test_suspended_version_returns_in_steps():
    harness = HealthTestHarness()
    for n in range(300):
        harness.rate(MEAN, server=f"s{n % 9}")
        harness.rate(0.9, version=STRONG, server=f"s{n % 9}")
    for n in range(60):
        harness.rate(0.4, server=f"s{n % 9}")
    assert harness.state() is HealthState.SUSPENDED
    harness.now += 601
    harness.judge()
    shares = [harness.standings[(SERVICE, SMALL)].share]
    while harness.state() is HealthState.RETURNING and len(shares) < 2_000:
        harness.rate(MEAN, server=f"s{len(shares) % 9}")
        shares.append(harness.standings[(SERVICE, SMALL)].share)
    assert harness.state() is HealthState.HEALTHY
    assert sorted(set(shares)) == [0.02, 0.1, 0.5, 1.0]
