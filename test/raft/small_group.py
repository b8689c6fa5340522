"""Real members over a fake link and fake disks, on clocks that the test advances.

The group checks its invariants at every step: one leader in a term, one lease at a
time, one command at an index, and log time that never decreases.
"""

import heapq
from dataclasses import dataclass, field
from itertools import count
from random import Random

import msgspec
from gevent.event import AsyncResult

from turmericreel.coordination.raft.file_runner import DirectRunner, Job
from turmericreel.coordination.raft.log_writer import EntriesWritten
from turmericreel.coordination.raft.member import Member, Proposal, SnapshotWritten
from turmericreel.coordination.raft.state import Role
from turmericreel.coordination.raft.timing import RaftTiming
from turmericreel.fakes.faulty_disk import DiskCrashed, FaultyDisk, Survival
from turmericreel.model.failures import CommitUnknown, FailureError
from turmericreel.model.ids import InstanceId, Revision, SubmissionId
from turmericreel.protocols.raft_messages import Introduction
from turmericreel.state.commands.configuration import Submitted, SubmitText
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.machine import StateMachine
from turmericreel.state.storage.entries import instance_of
from turmericreel.state.storage.log_storage import LogStorage
from turmericreel.util.clock import Clock

STEP_S = 0.01
DELAY_S = 0.004
TIMING = RaftTiming(heartbeat_s=0.1, election_s=0.5, clock_drift=0.01)


@dataclass(kw_only=True)
class SharedTime:
    """True time in seconds; members only see their own clocks."""

    now: float = 1_000.0


@dataclass(kw_only=True)
class SkewedClock(Clock):
    """A member's clock, with its own offset and rate."""

    time: SharedTime
    rate: float = 1.0
    offset: float = 0.0
    wall_offset_ms: int = 0

    def monotonic(self) -> float:
        return self.offset + self.rate * self.time.now

    def wall_ms(self) -> int:
        return int(self.time.now * 1_000) + self.wall_offset_ms


@dataclass(kw_only=True)
class Link:
    """Network between instances that may delay, lose or duplicate messages."""

    rng: Random
    time: SharedTime
    delay_s: float = DELAY_S
    jitter_s: float = 0.0
    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    cut: set[tuple[str, str]] = field(default_factory=set)
    queue: list = field(default_factory=list)
    sequence_numbers: count = field(default_factory=count)

    def send(self, sender: str, receiver: str, message) -> None:
        if (sender, receiver) in self.cut or self.rng.random() < self.loss_rate:
            return
        copies = 2 if self.rng.random() < self.duplication_rate else 1
        for _ in range(copies):
            at = self.time.now + self.delay_s + self.rng.random() * self.jitter_s
            heapq.heappush(
                self.queue, (at, next(self.sequence_numbers), receiver, message)
            )

    def pop_due(self) -> list:
        taken = []
        while self.queue and self.queue[0][0] <= self.time.now:
            taken.append(heapq.heappop(self.queue))
        return [(receiver, message) for _, _, receiver, message in taken]


class SlowRunner(DirectRunner):
    """Runs in the calling task, but delays background functions while `is_slow`."""

    def __init__(self):
        self.is_slow = False
        self.held: list = []

    def begin(self, function, *args, done):
        if not self.is_slow:
            return super().begin(function, *args, done=done)
        self.held.append(lambda: DirectRunner.begin(self, function, *args, done=done))
        return HeldJob(runner=self)

    def release(self) -> None:
        """Run the delayed functions and stop delaying."""
        self.is_slow = False
        held, self.held = self.held, []
        for run in held:
            run()


@dataclass(kw_only=True)
class HeldJob(Job):
    """A delayed job; waiting for it runs all delayed functions."""

    runner: SlowRunner

    def wait(self) -> None:
        self.runner.release()


@dataclass(kw_only=True)
class Node:
    """One instance; its disk survives a crash of its member."""

    name: str
    disk: FaultyDisk
    clock: SkewedClock
    runner: "SlowRunner" = field(default_factory=lambda: SlowRunner())
    member: Member | None = None
    paused: bool = False
    inbox: list = field(default_factory=list)
    failure: object = None


class SmallGroup:
    """Members that all have each other in their settings."""

    def __init__(
        self,
        *,
        names=("a", "b", "c"),
        seed: int = 0,
        new_machine=StateMachine,
        command_type=Command,
        **member_options,
    ):
        self.rng = Random(seed)
        self.new_machine = new_machine
        self.command_type = command_type
        self.time = SharedTime()
        self.link = Link(rng=self.rng, time=self.time)
        self.member_options = member_options
        self.nodes: dict[str, Node] = {}
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, LogRecord] = {}
        self.last_time_ms = 0
        for name in names:
            self.nodes[name] = self._new_node(name)
        for name in names:
            self.start(name)

    def _new_node(self, name: str) -> Node:
        clock = SkewedClock(
            time=self.time,
            rate=1 + self.rng.uniform(-0.004, 0.004),
            offset=self.rng.uniform(0, 1e6),
            wall_offset_ms=self.rng.randint(-300, 300),
        )
        return Node(name=name, disk=FaultyDisk(), clock=clock)

    def add_instance(self, name: str) -> None:
        """Add an instance to the settings; running members see it after a restart."""
        if name not in self.nodes:
            self.nodes[name] = self._new_node(name)

    def start(self, name: str) -> None:
        """Start an instance with its current disk."""
        node = self.nodes[name]
        node.inbox = []
        node.paused = False
        node.failure = None
        node.runner = SlowRunner()
        member = Member(
            instance=InstanceId(name),
            peers={InstanceId(n) for n in self.nodes if n != name},
            storage=LogStorage(disk=node.disk, segment_limit_bytes=2_000),
            machine=self.new_machine(),
            command_type=self.command_type,
            runner=node.runner,
            send=lambda to, message: self.link.send(name, to, message),
            notify=lambda record, result: self._applied(name, record, result),
            report=node.inbox.append,
            timing=TIMING,
            clock=node.clock,
            rng=Random(self.rng.random()),
            **self.member_options,
        )
        node.member = member
        self._guard(node, member.open)

    def crash(self, name: str, survival: Survival = Survival.NOTHING) -> None:
        """Simulate a power loss of an instance."""
        node = self.nodes[name]
        self._discard_member(node)
        node.disk = node.disk.after_crash(survival, self.rng)

    def restart(self, name: str, survival: Survival = Survival.NOTHING) -> None:
        """Simulate a power loss and start the instance again."""
        self.crash(name, survival)
        self.start(name)

    def lose_disk(self, name: str) -> None:
        """Stop an instance and replace its data folder with an empty one."""
        self._discard_member(self.nodes[name])
        self.nodes[name].disk = FaultyDisk()

    def run(self, seconds: float) -> None:
        """Advance time, and let the members run and check the invariants."""
        end = self.time.now + seconds
        while self.time.now < end - 1e-9:
            self.time.now += STEP_S
            for receiver, message in self.link.pop_due():
                self.nodes[receiver].inbox.append(message)
            for node in self.nodes.values():
                self._step_node(node)
            self.check()

    def run_until(self, condition, *, limit_s: float = 20.0, what: str = "") -> float:
        """Advance time until a condition holds; return how many seconds that took."""
        start = self.time.now
        while not condition():
            assert self.time.now < start + limit_s, f"timed out waiting for: {what}"
            self.run(STEP_S)
        return self.time.now - start

    def _step_node(self, node: Node) -> None:
        if node.member is None or node.paused:
            return
        messages = list(node.inbox)
        del node.inbox[:]
        self._guard(node, lambda: self._handle(node, messages))

    def _handle(self, node: Node, messages: list) -> None:
        for message in messages:
            if isinstance(message, Introduction):
                node.member.receive_introduction(message)
            elif isinstance(message, SnapshotWritten):
                node.member.compact(message)
            elif isinstance(message, EntriesWritten):
                node.member.on_entries_written(message)
            else:
                node.member.step(message)
        node.member.tick()
        node.member.process_outputs()

    def _guard(self, node: Node, action) -> None:
        try:
            action()
        except DiskCrashed:
            self.crash(node.name, Survival.TORN)
        except FailureError as error:
            node.failure = error.failure
            self._discard_member(node)

    def release(self, name: str) -> None:
        """Run an instance's delayed disk writes and stop delaying them."""
        node = self.nodes[name]
        self._guard(node, node.runner.release)

    def _discard_member(self, node: Node) -> None:
        # Delayed background writes are lost with the process.
        node.runner = SlowRunner()
        if node.member is not None:
            node.member.applier.fail_waiters(CommitUnknown(detail="crashed"))
        node.member = None

    def propose(self, name: str, command: Command) -> AsyncResult:
        """Propose a command at an instance in the leader role."""
        done: AsyncResult = AsyncResult()
        node = self.nodes[name]
        data = msgspec.msgpack.encode(command)

        def propose_and_process() -> None:
            node.member.propose([Proposal(data=data, done=done)])
            node.member.process_outputs()

        self._guard(node, propose_and_process)
        if node.member is None and not done.ready():
            done.set_exception(FailureError(CommitUnknown(detail="crashed")))
        return done

    def submit(self, name: str, text: str, *, base: int) -> AsyncResult:
        """Propose a text; its submission id is the text."""
        return self.propose(name, submission(text, base=base))

    def submit_and_wait(self, text: str, *, base: int) -> Result:
        """Submit a text to the leader until it is answered, with retries on failure."""
        while True:
            leader = self.wait_for_leader()
            done = self.submit(leader, text, base=base)
            self.run_until(done.ready, what="an answer")
            if done.successful():
                return done.get()

    def leader(self) -> str | None:
        """Return the name of the lease holder, None without one."""
        holders = [n.name for n in self.running_nodes() if n.member.is_leader()]
        return holders[0] if holders else None

    def wait_for_leader(self) -> str:
        """Advance time until an instance holds the lease; return its name."""
        self.run_until(lambda: self.leader() is not None, what="a leader")
        return self.leader()

    def running_nodes(self) -> list[Node]:
        """Return the instances with a running member, including paused ones."""
        return [n for n in self.nodes.values() if n.member is not None]

    def isolate(self, name: str) -> None:
        """Cut all links to and from an instance."""
        for other in self.nodes:
            self.link.cut |= {(name, other), (other, name)}

    def heal(self) -> None:
        """Restore all links."""
        self.link.cut.clear()

    def check(self) -> None:
        """Check the invariants."""
        holders = [n.name for n in self.running_nodes() if n.member.is_leader()]
        assert len(holders) <= 1, f"two leases at the same time: {holders}"
        for node in self.running_nodes():
            core = node.member.core
            if core is not None and core.state.role is Role.LEADER:
                known = self.leaders.setdefault(core.state.term, core.state.member)
                assert known == core.state.member, "two leaders in one term"
        if holders:
            applied = self.nodes[holders[0]].member.machine.applied_index
            assert applied >= max(self.committed, default=0), (
                "the leader would serve stale reads"
            )

    def _applied(self, name: str, record: LogRecord, result: Result) -> None:
        known = self.committed.setdefault(record.index, record)
        assert known == record, f"two records at {record.index}: {known}, {record}"
        if record.index - 1 in self.committed:
            before = self.committed[record.index - 1]
            assert before.time_ms <= record.time_ms, "log time decreased"


def submission(text: str, *, base: int) -> SubmitText:
    """Return a command that submits a text, with the text as submission id."""
    content = f"# {text}\n"
    return SubmitText(
        submission=SubmissionId(text), base_revision=Revision(base), text=content
    )


def voters_of(group: SmallGroup, name: str) -> list[str]:
    """Return the voters' instance names by the local view of an instance."""
    membership = group.nodes[name].member.core.state.membership
    return sorted(instance_of(m) for m in membership.voters)


def other_instances(group: SmallGroup, name: str) -> list[str]:
    return [n for n in group.nodes if n != name]


def term_of(group: SmallGroup, name: str) -> int:
    return group.nodes[name].member.core.state.term


def revision_at(group: SmallGroup, name: str) -> int:
    return group.nodes[name].member.machine.configuration.revision


def submit_texts(group: SmallGroup, first: int, last: int) -> None:
    for n in range(first, last + 1):
        assert group.submit_and_wait(f"t{n}", base=n - 1) == Submitted(
            revision=Revision(n)
        )


def wait_for_revision(group: SmallGroup, revision: int) -> None:
    group.run_until(
        lambda: all(
            revision_at(group, n.name) == revision for n in group.running_nodes()
        ),
        what=f"revision {revision} everywhere",
    )
