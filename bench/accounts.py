"""Measures the cost of durable accounts.

This covers added latency, records per second, bytes per record and reading statements.

Control instances run as processes on the loopback.  Results go to
``bench/results/accounts.json``.
"""

import turmericreel.util.event_loop  # noqa: F401, I001

import json
import os
import resource
import tempfile
import time
from itertools import count
from pathlib import Path

from gevent import joinall, sleep, spawn

from bench.processes import ControlGroup
from turmericreel.coordination.control_client import ControlClient
from turmericreel.entry.settlements import Settlements
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import (
    AttemptNumber,
    BackendServerId,
    ClientAccountId,
    ContentDigest,
    DataCentreId,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    RequestId,
    ServiceName,
    SessionId,
    VersionId,
)
from turmericreel.protocols.control_messages import Hello
from turmericreel.state.bill import BillLine, pack_line
from turmericreel.state.commands.claims import OpenClaim
from turmericreel.state.commands.ledger import AttemptRecord, OpenIntent, SettleIntent
from turmericreel.state.commands.sessions import BindSession
from turmericreel.state.commands.union import Batch
from turmericreel.state.file_archive import FileArchive
from turmericreel.util.clock import SystemClock

RATES = (10, 100, 300)
RUN_S = 4.0
WARM_UP_S = 0.5
N_BILL_LINES = 1_000_000
N_ACCOUNTS = 10
ACCOUNTS = [ClientAccountId(f"account-{n}") for n in range(N_ACCOUNTS)]
RESULTS = Path(__file__).parent / "results" / "accounts.json"
CLOCK = SystemClock()
REQUEST_NUMBERS = count()


def new_client(group: ControlGroup) -> ControlClient:
    """Return a started client of a control group."""
    client = ControlClient(
        addresses=list(group.control.values()),
        hello=Hello(
            instance=InstanceId("bench"),
            incarnation=Incarnation(CLOCK.wall_ms()),
            data_centre=DataCentreId("local"),
            http_address="127.0.0.1:1",
        ),
        clock=CLOCK,
        lease_ms=2_000,
        clock_drift=0.01,
    )
    client.start()
    return client


def attempt_record() -> AttemptRecord:
    """Return the record of a typical attempt."""
    return AttemptRecord(
        attempt=AttemptNumber(1),
        server=BackendServerId("oven-17"),
        neighbour="ovenslot",
        version=VersionId("small"),
        prompt_tokens=411,
        completion_tokens=279,
        cached_tokens=128,
        cost=15_321,
        outcome="Completed",
    )


def opening_commands(number: int) -> list:
    """Return the commands that open a request: claim, session binding and intent."""
    now_ms = CLOCK.wall_ms()
    request = RequestId(f"{os.getpid():012x}{number:020x}")
    account = ACCOUNTS[number % N_ACCOUNTS]
    service = ServiceName("helper-llm")
    instance = InstanceId("bench")
    return [
        OpenClaim(
            account=account,
            service=service,
            key=IdempotencyKey(request),
            request=request,
            digest=ContentDigest("0" * 32),
            instance=instance,
            expires_ms=now_ms + 600_000,
            deadline_ms=now_ms + 90_000,
            created_ms=now_ms,
        ),
        BindSession(
            account=account,
            service=service,
            session=SessionId(request),
            version=VersionId("small"),
            expires_ms=now_ms + 600_000,
        ),
        OpenIntent(
            request=request,
            account=account,
            service=service,
            instance=instance,
            open_until_ms=now_ms + 15_000,
            deadline_ms=now_ms + 90_000,
        ),
    ]


def percentiles(values: list[float]) -> dict[str, float]:
    """Return median and 95th percentile of seconds, converted to milliseconds."""
    ordered = sorted(values)
    return {
        "p50_ms": round(ordered[len(ordered) // 2] * 1_000, 2),
        "p95_ms": round(ordered[int(len(ordered) * 0.95)] * 1_000, 2),
        "n": len(ordered),
    }


def open_in_separate_records(client: ControlClient, commands: list) -> None:
    """Commit each command in its own log record, as the baseline."""
    for command in commands:
        client.propose(command, timeout=5.0)


def open_in_one_record(client: ControlClient, commands: list) -> None:
    """Commit all commands in one log record."""
    client.propose(Batch(commands=tuple(commands)), timeout=5.0)


OPENERS = {
    "intent": lambda client, commands: open_in_one_record(client, commands[2:]),
    "claim_session_intent": open_in_one_record,
    "three_records": open_in_separate_records,
}


def measure_added_time(client: ControlClient, opener: str, rate: int) -> dict:
    """Measure the latency of opening and settling requests at a steady rate.

    Parameters
    ----------
    client : ControlClient
    opener : str
        Key of `OPENERS`.
    rate : int
        Requests per second.
    """
    settlements = Settlements(control=client)
    settlements.start()
    opened: list[float] = []
    settled: list[float] = []

    def request(number: int) -> None:
        commands = opening_commands(number)
        began = time.perf_counter()
        OPENERS[opener](client, commands)
        opened.append(time.perf_counter() - began)
        began = time.perf_counter()
        bill = SettleIntent(
            request=commands[2].request,
            outcome="Completed",
            attempts=(attempt_record(),),
        )
        settlements.put(bill).durable.wait()
        settled.append(time.perf_counter() - began)

    tasks = []
    began = time.perf_counter()
    for n in range(int(rate * RUN_S)):
        sleep(max(began + n / rate - time.perf_counter(), 0.0))
        tasks.append(spawn(request, next(REQUEST_NUMBERS)))
    joinall(tasks, raise_error=True)
    settlements.stop()
    skip = int(rate * WARM_UP_S)
    return {"open": percentiles(opened[skip:]), "settle": percentiles(settled[skip:])}


def measure_saturation(client: ControlClient, n_tasks: int = 256) -> dict:
    """Measure the maximum rate of requests that are opened and settled."""
    settlements = Settlements(control=client)
    settlements.start()
    done = [0]
    until = time.perf_counter() + RUN_S

    def work() -> None:
        while time.perf_counter() < until:
            commands = opening_commands(next(REQUEST_NUMBERS))
            OPENERS["intent"](client, commands)
            bill = SettleIntent(
                request=commands[2].request,
                outcome="Completed",
                attempts=(attempt_record(),),
            )
            settlements.put(bill).durable.wait()
            done[0] += 1

    began = time.perf_counter()
    joinall([spawn(work) for _ in range(n_tasks)], raise_error=True)
    seconds = time.perf_counter() - began
    settlements.stop()
    return {"requests_per_s": round(done[0] / seconds)}


def measure_group(n_instances: int) -> dict:
    """Run the latency and saturation measurements on a group of `n_instances`."""
    with tempfile.TemporaryDirectory() as folder:
        group = ControlGroup(folder=Path(folder), n_instances=n_instances)
        group.start_all()
        client = new_client(group)
        try:
            wait_for_leader(client)
            results = {
                opener: {
                    str(rate): measure_added_time(client, opener, rate)
                    for rate in RATES
                }
                for opener in OPENERS
            }
            results["saturated"] = measure_saturation(client)
        finally:
            client.stop()
            group.stop_all()
    return results


def wait_for_leader(client: ControlClient) -> None:
    """Wait until the group commits commands; exit if none is committed."""
    for _ in range(20):
        try:
            open_in_one_record(client, opening_commands(next(REQUEST_NUMBERS)))
            return
        except FailureError:
            sleep(0.5)
    raise SystemExit("no leader")


def bill_line(number: int) -> BillLine:
    """Return a typical bill line."""
    work = attempt_record()
    return BillLine(
        number=number,
        request=RequestId(f"{number:032x}"),
        account=ACCOUNTS[number % N_ACCOUNTS],
        service=ServiceName("helper-llm"),
        outcome="Completed",
        cost=work.cost,
        settled_ms=1_700_000_000_000 + number,
        attempts=(work,),
    )


def measure_archive() -> dict:
    """Measure the archive with `N_BILL_LINES` lines."""
    with tempfile.TemporaryDirectory() as folder:
        archive = FileArchive(folder=Path(folder))
        began = time.perf_counter()
        for number in range(N_BILL_LINES):
            archive.append(bill_line(number))
        archive.sync()
        seconds = time.perf_counter() - began
        n_bytes = sum(path.stat().st_size for path in Path(folder).iterdir())
        pages = []
        after, n_lines = -1, 0
        whole = time.perf_counter()
        while after is not None:
            began = time.perf_counter()
            page = archive.page(account=ACCOUNTS[3], after=after, limit=1_000)
            pages.append(time.perf_counter() - began)
            n_lines += len(page.lines)
            after = page.next_after
        whole = time.perf_counter() - whole
        archive.close()
        began = time.perf_counter()
        FileArchive(folder=Path(folder)).close()
        reopened = time.perf_counter() - began
    return {
        "n_lines": N_BILL_LINES,
        "appends_per_s": round(N_BILL_LINES / seconds),
        "bytes_per_line_packed": len(pack_line(bill_line(N_BILL_LINES))),
        "bytes_per_line_on_disk": round(n_bytes / N_BILL_LINES, 1),
        "statement_page_of_1000": percentiles(pages),
        "statement_lines": n_lines,
        "statement_seconds": round(whole, 2),
        "reopen_seconds": round(reopened, 2),
        "max_rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1_024,
    }


def main() -> None:
    """Measure everything and write the results."""
    results = {"archive": measure_archive()}
    print(json.dumps(results["archive"]))
    for n_instances in (1, 3):
        name = f"control_instances_{n_instances}"
        results[name] = measure_group(n_instances)
        print(name, json.dumps(results[name]))
    kept = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    RESULTS.write_text(json.dumps({**kept, **results}, indent=1) + "\n")


if __name__ == "__main__":
    main()
