"""Checks the history of concurrent callers while instances are killed and paused.

``python -m test_long.accounts_history --seed 1 --seconds 20`` starts three instances
as processes, and stand-in servers in its own process.  Callers chat and book, resend
through any instance, and disconnect; instances get SIGKILL and SIGSTOP; servers lose
answers, break streams and refuse calls.  At the end every answer, effect and bill line
is compared with the servers' own records.  The exit code is 1 if any of them disagree.
"""

import turmericreel.util.event_loop  # noqa: F401, I001

import argparse
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec
from gevent import joinall, sleep, spawn

from bench.processes import OPERATOR_KEY, ControlGroup
from test.library import TEXT, chat_body
from test_long.journal_server import N_TOKENS, JournalServer
from test_long.raw_call import Answer, call
from turmericreel.fakes.backend_server import FakeBehaviour
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    ServiceName,
    VersionId,
)
from turmericreel.model.servers import BackendServer
from turmericreel.ui.accounts import reconcile_all
from turmericreel.ui.operator_client import OperatorClient
from turmericreel.util.clock import SystemClock

N_INSTANCES = 3
N_CHAT_CALLERS = 4
N_BOOKING_CALLERS = 4
MAX_SETTLE_S = 60.0


@dataclass(kw_only=True)
class History:
    """Answers to all calls; those of bookings by idempotency key."""

    bookings: dict[str, list[Answer]] = field(default_factory=dict)
    chats: list[Answer] = field(default_factory=list)


class HistoryRun:
    """A run of calls and faults, and the checks of its history."""

    def __init__(self, *, seed: int, seconds: float, folder: Path):
        self.rng = Random(seed)
        self.clock = SystemClock()
        self.calls_end_at = self.clock.monotonic() + seconds
        self.group = ControlGroup(
            folder=folder, n_instances=N_INSTANCES, roles=("entry", "control")
        )
        self.homes = list(self.group.http.values())
        self.servers: list[JournalServer] = []
        self.history = History()
        self.faults: Counter[str] = Counter()
        self.n_keys = 0

    def start(self) -> None:
        """Start the instances and the stand-in servers, and submit the text."""
        self.group.start_all()
        sleep(3.0)
        self._submit_text()
        services = [("helper-llm", "small")] * 2 + [("booking-app", "v1")] * 2
        for n, (service, version) in enumerate(services):
            server = JournalServer(
                rng=Random(self.rng.random()),
                server=BackendServer(
                    server=BackendServerId(f"server-{n}"),
                    incarnation=Incarnation(1),
                    service=ServiceName(service),
                    versions=(VersionId(version),),
                    data_centre=DataCentreId("local"),
                    address="127.0.0.1:0",
                    neighbour="ovenslot" if n % 2 else "draisinas",
                ),
                homes=self.homes[n % N_INSTANCES :] + self.homes[: n % N_INSTANCES],
                behaviour=FakeBehaviour(),
            )
            server.start()
            self.servers.append(server)
        sleep(2.0)

    def _submit_text(self) -> None:
        for attempt in range(20):
            client = OperatorClient(
                address=self.homes[attempt % N_INSTANCES], key=OPERATOR_KEY
            )
            try:
                client.submit(submission="first", base_revision=0, text=TEXT)
                return
            except FailureError:
                sleep(0.5)
        raise SystemExit("the text was not accepted")

    def send_calls(self) -> None:
        """Send calls and inject faults until the time is up."""
        tasks = []
        for _ in range(N_CHAT_CALLERS):
            tasks.append(spawn(self._chat, Random(self.rng.random())))
        for _ in range(N_BOOKING_CALLERS):
            tasks.append(spawn(self._book, Random(self.rng.random())))
        self._inject_faults()
        joinall(tasks, raise_error=True)

    def _running(self) -> bool:
        return self.clock.monotonic() < self.calls_end_at

    def _chat(self, rng: Random) -> None:
        while self._running():
            body = chat_body(f"question {rng.random()}", stream=True)
            address = rng.choice(self.homes)
            self.history.chats.append(call(address, "/v1/chat/completions", body))
            sleep(rng.random() * 0.1)

    def _book(self, rng: Random) -> None:
        while self._running():
            self.n_keys += 1
            key = f"booking-{self.n_keys}"
            answers = self.history.bookings.setdefault(key, [])
            calls = [spawn(self._book_once, rng, key)]
            if rng.random() < 0.3:
                calls.append(spawn(self._book_once, rng, key))
            joinall(calls, raise_error=True)
            answers += [each.value for each in calls]
            # Callers resend until a call is completed, and some resend once more.
            for _ in range(4):
                is_completed = any(a.outcome == "Completed" for a in answers)
                if is_completed and rng.random() < 0.7:
                    break
                sleep(rng.random() * 0.3)
                answers.append(self._book_once(rng, key))

    def _book_once(self, rng: Random, key: str) -> Answer:
        path = "/services/booking-app/book"
        address = rng.choice(self.homes)
        answer = call(address, path, key.encode(), Idempotency_Key=key)
        answer.key = key
        return answer

    def _inject_faults(self) -> None:
        while self._running():
            sleep(0.5 + self.rng.random())
            name = self.rng.choice(list(self.group.processes))
            process = self.group.processes[name]
            if self.rng.random() < 0.5:
                self.faults["kill"] += 1
                self.group.kill(name)
                sleep(self.rng.random() * 1.5)
                self.group.start(name)
            else:
                self.faults["pause"] += 1
                process.send_signal(signal.SIGSTOP)
                sleep(self.rng.random() * 3.0)
                process.send_signal(signal.SIGCONT)

    def check(self) -> list[str]:
        """Return a description of every inconsistency."""
        faults = self._check_bookings() + self._check_chats()
        client = self._wait_until_settled()
        if client is None:
            return [*faults, "intents are still open"]
        faults += self._check_lines(client)
        return faults

    def _check_bookings(self) -> list[str]:
        faults = []
        effects: Counter[str] = Counter()
        bodies = {}
        for server in self.servers:
            effects.update(server.effects)
            bodies |= server.bodies
        for key, answers in self.history.bookings.items():
            outcomes = {a.outcome for a in answers}
            if effects[key] > 1:
                faults.append(f"{key} took effect {effects[key]} times")
            if outcomes == {"NotRun"} and effects[key]:
                faults.append(f"{key} took effect, but every answer was not run")
            completed = {a.body for a in answers if a.outcome == "Completed"}
            if completed - {bodies.get(key)}:
                faults.append(
                    f"{key} was answered {completed} instead of {bodies.get(key)}"
                )
        return faults

    def _check_chats(self) -> list[str]:
        faults = []
        for answer in self.history.chats:
            texts = []
            for event in answer.body.split(b"\n\n"):
                if event.startswith(b"data: {"):
                    chunk = msgspec.json.decode(event[6:])
                    for choice in chunk.get("choices", []):
                        texts.append(choice["delta"].get("content") or "")
            expected = [f"{answer.request}:{n} " for n in range(N_TOKENS)]
            texts = [text for text in texts if text]
            if texts != expected[: len(texts)]:
                faults.append(f"{answer.request} received {texts}")
            if b"data: [DONE]" in answer.body and texts != expected:
                faults.append(f"{answer.request} ended with [DONE], but is incomplete")
        return faults

    def _wait_until_settled(self) -> OperatorClient | None:
        deadline = self.clock.monotonic() + MAX_SETTLE_S
        while self.clock.monotonic() < deadline:
            for home in self.homes:
                client = OperatorClient(address=home, key=OPERATOR_KEY)
                try:
                    totals = client.read("account_totals")
                except (FailureError, OSError, KeyError):
                    continue
                if totals["n_open"] == 0:
                    return client
            sleep(1.0)
        return None

    def _check_lines(self, client: OperatorClient) -> list[str]:
        faults = []
        lines = self._statement(client)
        requests = Counter(line["request"] for line in lines)
        faults += [f"{r} has {n} bill lines" for r, n in requests.items() if n > 1]
        by_request = {line["request"]: line for line in lines}
        n_generated: Counter[tuple[str, str]] = Counter()
        for server in self.servers:
            n_generated.update(server.tokens)
            for request in server.requests:
                if request not in by_request:
                    faults.append(f"{request} ran, but has no bill line")
        for (request, attempt), n_tokens in n_generated.items():
            line = by_request.get(request)
            if line is None or line["expired"]:
                continue
            billed = [a for a in line["attempts"] if str(a["attempt"]) == attempt]
            if len(billed) != 1 or billed[0]["completion_tokens"] > n_tokens:
                faults.append(
                    f"{request} generated {n_tokens} tokens, but {billed} is billed"
                )
        found, n_final = reconcile_all(client)
        faults += [f"{f.kind} {f.where} {f.expected} {f.found}" for f in found]
        self.faults["lines"] = len(lines)
        self.faults["final_lines"] = n_final
        self.faults["expired"] = sum(line["expired"] for line in lines)
        return faults

    def _statement(self, client: OperatorClient) -> list[dict]:
        lines, after = [], -1
        while True:
            page = client.read("statement", account="household", after=str(after))
            lines += page
            final = [line["number"] for line in page if line["number"] >= 0]
            if len(final) < len(page) or not final:
                return lines
            after = final[-1]

    def stop(self) -> None:
        """Stop all servers and instances."""
        for server in self.servers:
            server.stop()
        self.group.stop_all()


def main() -> None:
    """Run one seed, print the outcomes and exit with 1 on any inconsistency."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        run = HistoryRun(
            seed=options.seed, seconds=options.seconds, folder=Path(folder)
        )
        try:
            run.start()
            run.send_calls()
            faults = run.check()
        finally:
            run.stop()
    outcomes = Counter(
        a.outcome for answers in run.history.bookings.values() for a in answers
    )
    chats = Counter(
        "whole" if b"[DONE]" in a.body else a.outcome for a in run.history.chats
    )
    print(f"seed {options.seed}: bookings {dict(outcomes)}, chats {dict(chats)}")
    print(f"injected faults and bill lines: {dict(run.faults)}")
    for fault in faults:
        print(f"FAULT {fault}")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
