"""Evidence is aggregated by senders, judged at the leader and broadcast to all."""

from test.library import SmallSystem, wait_until
from turmericreel.control.evidence import EvidencePool, HealthJudge
from turmericreel.coordination.evidence import EvidenceSum
from turmericreel.model.ids import BackendServerId, ServiceName, VersionId
from turmericreel.protocols.evidence_messages import EvidenceItem, EvidenceReport
from turmericreel.util.clock import ManualClock


def item(server: str, n_answers: int, n_failed: int = 0) -> EvidenceItem:
    return EvidenceItem(
        service=ServiceName("helper-llm"),
        version=VersionId("small"),
        server=BackendServerId(server),
        n_answers=n_answers,
        n_failed=n_failed,
        first_token_counts=(n_answers, 0, 1),
    )


def test_sums_are_bounded_and_lose_no_count():
    evidence = EvidenceSum(max_items=3)
    evidence.add([item(f"oven-{n}", 1) for n in range(50)])
    report = evidence.take()
    assert len(report.items) <= 4
    assert sum(i.n_answers for i in report.items) == 50
    assert evidence.take() is None


def test_pool_drops_items_after_window():
    clock = ManualClock()
    pool = EvidencePool(clock=clock, window_s=10.0)
    pool.add(EvidenceReport(items=(item("oven-1", 5, 1), item("oven-2", 7))))
    clock.advance(6)
    pool.add(EvidenceReport(items=(item("oven-1", 1),)))
    (total,) = pool.by_version().values()
    assert (total.n_answers, total.n_failed) == (13, 1)
    assert total.first_token_counts == (13, 0, 3)
    clock.advance(5)
    (total,) = pool.by_version().values()
    assert total.n_answers == 1


class RecordingJudge(HealthJudge):
    """Records the largest number of answers that it was given."""

    def __init__(self):
        self.n_answers = 0

    def judge(self, pool, machine, *, now):
        for total in pool.by_version().values():
            self.n_answers = max(self.n_answers, total.n_answers)
        return []


def test_evidence_reaches_judge_and_is_broadcast(system: SmallSystem):
    judge = RecordingJudge()
    system.instance.control_service.judge = judge
    client = system.instance.control_client
    digests = []
    client.on_evidence(digests.append)
    client.send_evidence([item("oven-1", 3), item("oven-2", 4)])
    wait_until(lambda: digests, what="pooled evidence broadcast")
    assert judge.n_answers == 7
    assert digests[0].items[0].n_answers == 7
