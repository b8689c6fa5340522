"""The lease book never reports a revision as in force too early."""

from turmericreel.control.lease_book import MAX_REPORTED_REVISIONS, HolderKey, LeaseBook
from turmericreel.model.ids import FencingToken, Incarnation, InstanceId, Revision
from turmericreel.protocols.control_messages import RevisionCount, SubscriberRole
from turmericreel.util.clock import ManualClock


def build_book(clock: ManualClock) -> LeaseBook:
    book = LeaseBook(clock=clock, lease_ms=2_000, clock_drift=0.01)
    book.begin_term(FencingToken(1))
    return book


def confirm(book, name, revision, *, role=SubscriberRole.ENTRY, downstream=(), run=1):
    key = HolderKey(InstanceId(name), Incarnation(run))
    counts = tuple(RevisionCount(Revision(r), n) for r, n in downstream)
    book.confirm(key, role=role, revision=Revision(revision), downstream=counts)
    book.extend(key, lease_ms=2_000)


def test_new_leader_waits_out_a_whole_lease():
    clock = ManualClock(now=50.0)
    book = build_book(clock)
    assert not book.in_force(Revision(1)).is_complete
    assert book.in_force(Revision(1)).left_ms == 2_020
    clock.advance(2.01)
    assert not book.in_force(Revision(1)).is_complete
    clock.advance(0.02)
    assert book.in_force(Revision(1)).is_complete
    book.begin_term(FencingToken(1))
    assert book.in_force(Revision(1)).is_complete
    book.begin_term(FencingToken(2))
    assert not book.in_force(Revision(1)).is_complete


def test_regained_leadership_waits_again():
    clock = ManualClock(now=50.0)
    book = build_book(clock)
    clock.advance(10)
    book.end_term()
    book.begin_term(FencingToken(1))
    assert not book.in_force(Revision(0)).is_complete


def test_counts_of_relays_add_up():
    clock = ManualClock(now=50.0)
    book = build_book(clock)
    clock.advance(5)
    relay = SubscriberRole.RELAY
    confirm(book, "e1", 7)
    confirm(book, "r1", 7, role=relay, downstream=[(6, 2), (7, 30)])
    propagation = book.in_force(Revision(7))
    assert (propagation.confirmed, propagation.waiting) == (31, 2)
    confirm(book, "r1", 7, role=relay, downstream=[(7, 32)])
    assert book.in_force(Revision(7)).is_complete


def test_lagging_relay_without_subscribers_counts_as_waiting():
    clock = ManualClock(now=50.0)
    book = build_book(clock)
    clock.advance(5)
    confirm(book, "r1", 6, role=SubscriberRole.RELAY)
    assert book.in_force(Revision(7)).waiting == 1


def test_lost_and_restarted_holders_count_until_their_leases_end():
    clock = ManualClock(now=50.0)
    book = build_book(clock)
    clock.advance(5)
    confirm(book, "r1", 6, role=SubscriberRole.RELAY, downstream=[(6, 3)])
    confirm(book, "r1", 7, role=SubscriberRole.RELAY, downstream=[(7, 1)], run=2)
    book.drop_expired_holders(set())
    assert book.in_force(Revision(7)).waiting == 3
    clock.advance(2.03)
    book.drop_expired_holders(set())
    assert book.in_force(Revision(7)).is_complete
    assert not book.holders


def test_reported_revisions_are_bounded_and_rounded_down():
    clock = ManualClock(now=50.0)
    book = build_book(clock)
    for n in range(30):
        confirm(book, f"e{n}", n + 1)
    counts = book.counts()
    assert len(counts) == MAX_REPORTED_REVISIONS
    assert sum(count.n_holders for count in counts) == 30
    for revision in range(1, 31):
        n_newer = sum(c.n_holders for c in counts if c.revision >= revision)
        assert n_newer <= 31 - revision
