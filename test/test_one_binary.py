"""The program runs in a single process, on the required event loop."""

import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

from test.library import http_call, wait_until
from turmericreel.util.event_loop import loop_backend

BINARY = os.environ.get("TURMERICREEL_BINARY")
PROGRAM = [BINARY] if BINARY else [sys.executable, "-m", "turmericreel"]
SETTINGS = """
[instance]
id = "solo"
data_centre = "local"
data_folder = "{folder}"
[listen]
http = "127.0.0.1:0"
control = "127.0.0.1:0"
metrics = "127.0.0.1:0"
"""


def children_of(pid: int) -> list[str]:
    """Return the process ids of all children of a process's threads."""
    children = []
    for task in Path(f"/proc/{pid}/task").iterdir():
        # A thread may end while the list of threads is read.
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            children.extend((task / "children").read_text().split())
    return children


def uses_io_uring(pid: int) -> bool:
    """Return whether a process has an open io_uring instance."""
    links = []
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        # A file may be closed while the list of files is read.
        with contextlib.suppress(FileNotFoundError):
            links.append(os.readlink(descriptor))
    return any("io_uring" in link for link in links)


def test_loop_is_epoll():
    assert loop_backend() == "epoll"


def test_program_starts_no_other_process(tmp_path):
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS.format(folder=tmp_path / "data"))
    log = open(tmp_path / "out", "w+")  # noqa: SIM115
    program = subprocess.Popen(
        [*PROGRAM, "serve", "--settings", str(settings)], stdout=log, stderr=log
    )
    seen: list[str] = []

    def is_serving() -> bool:
        seen.extend(children_of(program.pid))
        assert program.poll() is None, (tmp_path / "out").read_text()
        return "serving on " in (tmp_path / "out").read_text()

    try:
        wait_until(is_serving, what="the program serves")
        text = (tmp_path / "out").read_text()
        address = text.split("serving on ")[1].split()[0]
        assert http_call(address, "GET", "/healthz").status == 200
        assert children_of(program.pid) == []
        assert seen == []
        assert not uses_io_uring(program.pid)
    finally:
        program.send_signal(signal.SIGTERM)
        assert program.wait(timeout=30) == 0
        log.close()
