"""Ordinary callers of a gateway, and the rule CONFIG on what they saw."""

import threading
import time

from system2 import Record, System, call, request_header

TIMEOUT_MS = 1_500
# A caller still waits for this long, to see whether an answer comes.
WAIT_S = 6.0
# Bounds of the rule: time after the route's time-out, number and share of the requests
# that last longer than it.
SLACK_S = 0.5
N_LATE = 8
LATE_SHARE = 0.25
# Between two requests of a caller.
PAUSE_S = 0.25


class Callers:
    """Callers that each send one request after another, on a new connection each."""

    def __init__(self, *, system: System, record: Record, n_callers: int = 10):
        self.system = system
        self.record = record
        self.is_open = True
        self.lock = threading.Lock()
        # Time of sending, seconds until the answer (or until the caller left), status.
        self.seen: list[tuple[float, float, int]] = []
        self.threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(n_callers)
        ]
        for thread in self.threads:
            thread.start()

    def _run(self, caller: int) -> None:
        number = 0
        while self.is_open:
            attempt = f"ordinary-{caller}-{number}"
            number += 1
            began = time.monotonic()
            self.record.write(f"caller sends {attempt}")
            status, _, _ = call(
                self.system.frontend(),
                "POST",
                "/plain/x",
                b"x",
                header=request_header(attempt, int(WAIT_S * 1_000)),
                timeout=WAIT_S,
            )
            took = time.monotonic() - began
            self.record.write(
                f"caller got {status or 'nothing'} for {attempt} {took:.3f} s"
            )
            with self.lock:
                self.seen.append((began, took, status))
            time.sleep(PAUSE_S)

    def stop(self) -> None:
        """Let all callers end their last requests."""
        self.is_open = False
        for thread in self.threads:
            thread.join(timeout=WAIT_S + 2.0)

    def is_broken(self) -> bool:
        """Return whether the rule CONFIG was broken; write down by how much."""
        long = [took for _, took, _ in self.seen if took > TIMEOUT_MS / 1_000]
        late = [took for took in long if took > TIMEOUT_MS / 1_000 + SLACK_S]
        served = sum(status == 200 for _, _, status in self.seen)
        longest = max((took for _, took, _ in self.seen), default=0.0)
        self.record.write(
            f"ordinary requests: {len(self.seen)}, served {served}, longest wait "
            f"{longest:.3f} s; {len(long)} lasted longer than the route's time-out, "
            f"{len(late)} of them had no answer {SLACK_S} s later"
        )
        return len(late) >= N_LATE and len(late) > LATE_SHARE * len(long)


class Readiness:
    """The platform's questions whether the gateway is ready, once a second."""

    def __init__(self, *, system: System, record: Record):
        self.system = system
        self.record = record
        self.is_open = True
        self.statuses: list[int] = []
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while self.is_open:
            status, _, _ = call(self.system.readiness(), "GET", "/-/readiness")
            self.statuses.append(status)
            self.record.write(f"readiness: {status or 'nothing'}")
            time.sleep(1.0)

    def stop(self) -> None:
        """End the questions."""
        self.is_open = False
        self.thread.join(timeout=3.0)
