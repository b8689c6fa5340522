"""Breaks one rule of text distribution at a time and shows which tests catch it.

Each mutation is applied to a copy of the source in a temporary folder.

    python bench/mutations_spread.py [--only WORD]
"""

import re
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 300
N_WORKERS = 3


@dataclass(frozen=True)
class Mutation:
    """A replacement of `old` by `new` in a file of the package, which breaks a rule."""

    name: str
    file: str
    old: str
    new: str


NO_MUTATION = Mutation("nothing broken", "__init__.py", "", "")

MUTATIONS = [
    Mutation(
        "lease granted without checking the own one",
        "control/sources.py",
        "left_s = self.view.lease_deadline - self.client.clock.monotonic()",
        "left_s = 2.0",
    ),
    Mutation(
        "relay's lease not shortened by the drift",
        "control/sources.py",
        "int(left_s * 1_000 * (1 - self.client.clock_drift))",
        "int(left_s * 1_000 * (1 + 8 * self.client.clock_drift))",
    ),
    Mutation(
        "lease runs from when the grant arrived",
        "coordination/control_client.py",
        "message, sent_at=sent_at, clock_drift",
        "message, sent_at=self.clock.monotonic(), clock_drift",
    ),
    Mutation(
        "holder ignores the drift",
        "coordination/lease.py",
        "lease_ms / 1_000 * (1 - clock_drift)",
        "lease_ms / 1_000 * (1 + 3 * clock_drift)",
    ),
    Mutation(
        "lease granted for an older revision",
        "control/subscriptions.py",
        "if granted_ms <= 0 or message.revision != revision:",
        "if granted_ms <= 0:",
    ),
    Mutation(
        "lease taken for another revision than held",
        "coordination/control_view.py",
        "if message.revision != self.revision:",
        "if False:",
    ),
    Mutation(
        "older revision accepted",
        "coordination/control_view.py",
        "message.revision <= self.revision:\n            return UpdateResult.IGNORED",
        "False:\n            return UpdateResult.IGNORED",
    ),
    Mutation(
        "lower fencing token accepted",
        "coordination/control_view.py",
        "if message.fencing_token < self.fencing_token:",
        "if False:",
    ),
    Mutation(
        "checksum of a delta not checked",
        "coordination/control_view.py",
        "if text_checksum(text) != message.checksum:",
        "if False:",
    ),
    Mutation(
        "unknown holders counted as gone",
        "control/lease_book.py",
        "settled = self.settled_at <= now",
        "settled = True",
    ),
    Mutation(
        "restarted holder counted as the same",
        "control/subscriber.py",
        "return HolderKey(self.hello.instance, self.hello.incarnation)",
        "return HolderKey(self.hello.instance, 0)",
    ),
    Mutation(
        "lost stream counted as gone",
        "control/lease_book.py",
        "if holder.lease_deadline > now or key in connected",
        "if key in connected",
    ),
    Mutation(
        "relay's subscribers not counted",
        "control/lease_book.py",
        "        return holder.downstream\n",
        "        return (RevisionCount(holder.confirmed, 1),)\n",
    ),
    Mutation(
        "relay behind not counted",
        "control/lease_book.py",
        "    return (*holder.downstream, RevisionCount(holder.confirmed, 1))",
        "    return holder.downstream",
    ),
    Mutation(
        "gap in registry pushes not seen",
        "coordination/control_view.py",
        "elif message.since != self.servers_index:",
        "elif False:",
    ),
    Mutation(
        "lease taken in spite of a missed registry push",
        "coordination/control_view.py",
        "if message.servers_index != self.servers_index:",
        "if False:",
    ),
    Mutation(
        "older whole registry accepted",
        "coordination/control_view.py",
        "if message.index < self.servers_index:",
        "if False:",
    ),
    Mutation(
        "stale incarnation wins",
        "state/tables/servers.py",
        "return server.incarnation < known.server.incarnation",
        "return False",
    ),
    Mutation(
        "server that left comes back",
        "state/tables/servers.py",
        "    return known.left\n",
        "    return False\n",
    ),
    Mutation(
        "former home expires a server that moved",
        "state/tables/servers.py",
        "if known.home != command.home:",
        "if False:",
    ),
    Mutation(
        "registry sent after the lease",
        "control/subscriptions.py",
        "        self._confirm(subscriber, message)\n        subscriber.flush()",
        "        self._confirm(subscriber, message)",
    ),
    Mutation(
        "relay forgets servers missing from a whole push",
        "control/sources.py",
        "            self._mark_missing(message)",
        "            pass",
    ),
    Mutation(
        "base revision not checked",
        "state/tables/configuration.py",
        "if command.base_revision != self.revision:",
        "if False:",
    ),
    Mutation(
        "resend decided anew",
        "state/tables/configuration.py",
        "if known is not None:\n            return known",
        "if False:\n            return known",
    ),
    Mutation(
        "servers of a lost home expired at once",
        "control/home_expiry.py",
        "if self.lost_since[home] + REHOME_GRACE_S <= now",
        "if True",
    ),
    Mutation(
        "expiry not bounded",
        "control/home_expiry.py",
        "batch = registered[:n_left]",
        "batch = registered",
    ),
    Mutation(
        "order: sent without a last look at leadership",
        "control/orders.py",
        "        if not self.log.is_leader():\n            return\n        answer",
        "        answer",
    ),
    Mutation(
        "order: to servers that check nothing, at once",
        "control/orders.py",
        "return self.clock.monotonic() >= self.log.orders_allowed_at()",
        "return True",
    ),
    Mutation(
        "order: one under way dropped",
        "state/tables/orders.py",
        "if end is OrderEnd.SUPERSEDED and known.progress is OrderProgress.ISSUED:",
        "if False:",
    ),
    Mutation(
        "order: a burst with each new leader",
        "control/orders.py",
        "self.next_at = self.clock.monotonic() + 1 / self.per_second",
        "self.next_at = 0.0",
    ),
    Mutation(
        "order: sent before it is durable that it is",
        "control/orders.py",
        "            self._propose(IssueOrder(order=order.order))\n",
        "",
    ),
    Mutation(
        "load report taken from another than the home",
        "coordination/load_exchange.py",
        'if home is None or home.load_address != f"{peer[0]}:{peer[1]}":',
        "if home is None:",
    ),
    Mutation(
        "edits of another base accepted by the log",
        "state/tables/configuration.py",
        "if text_checksum(text) != command.checksum:",
        "if False:",
    ),
]


def main() -> None:
    """Run the selected mutations and print a row of a Markdown table for each."""
    only = sys.argv[2] if len(sys.argv) > 2 else ""
    chosen = [mutation for mutation in MUTATIONS if only in mutation.name]
    with ThreadPoolExecutor(max_workers=N_WORKERS) as pool:
        results = pool.map(_caught_by, [NO_MUTATION, *chosen])
        for mutation, result in zip([NO_MUTATION, *chosen], results, strict=True):
            print(f"| {mutation.name} | {result} |", flush=True)


def _caught_by(mutation: Mutation) -> str:
    with TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in (
            "turmericreel",
            "test",
            "bench",
            "pyproject.toml",
            "KNOWN-RED.txt",
        ):
            source = ROOT / part
            if source.is_dir():
                shutil.copytree(source, copy / part)
            else:
                shutil.copy(source, copy / part)
        path = copy / "turmericreel" / mutation.file
        text = path.read_text()
        if text.count(mutation.old) < 1:
            return "**not applicable: source text not found**"
        path.write_text(text.replace(mutation.old, mutation.new))
        return _failed_tests(copy)


def _failed_tests(copy: Path) -> str:
    command = [sys.executable, "-m", "pytest", "test/spread", "-q", "--tb=line"]
    try:
        run = subprocess.run(
            command, cwd=copy, capture_output=True, text=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return "timed out"
    if run.returncode not in (0, 1):
        return f"**test run failed: exit {run.returncode}**"
    failed = re.findall(r"^(?:FAILED|ERROR) \S+::(\S+)", run.stdout, re.MULTILINE)
    return ", ".join(f"`{name}`" for name in failed[:3]) or "**not caught**"


if __name__ == "__main__":
    main()
