"""Measures the rate of streamed tokens that one entry instance relays on one core.

Starts an instance, stand-in servers and callers as processes on the loopback, and
prints the tokens delivered and the processor time of the instance.  Repeat `--package`
to compare several source trees of the program.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

BETWEEN_TOKENS_S = 0.028
N_TOKENS = 279
N_SERVERS = 3
N_CALLERS = 3
RESULTS = Path(__file__).parent / "results" / "accounts.json"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

TEXT = """
[client_accounts.household]
key_hashes = ["{caller_hash}"]
allowed = {{ "helper-llm" = ["small"] }}

[services.helper-llm]
kind = "assistant"
quality_target = 0.7

[services.helper-llm.versions.small]
model = "oven-small"
input_price = 10
output_price = 40
prior_quality = 0.8
"""
SETTINGS = """
[instance]
id = "solo"
data_centre = "local"
data_folder = "{folder}/data"

[listen]
http = "127.0.0.1:{port}"
control = "127.0.0.1:0"
metrics = "127.0.0.1:0"

[operators]
key_hashes = ["{operator_hash}"]
"""


def serve_tokens(home: str, name: str) -> None:
    """Announce a server to `home`; stream tokens to each request at a steady rate."""
    import turmericreel.util.event_loop  # noqa: F401, I001
    import re

    import gevent
    from gevent.server import StreamServer
    from geventhttpclient import HTTPClient

    header_pattern = re.compile(
        rb"turmericreel-(request-id|attempt): (\S+)", re.IGNORECASE
    )

    def handle(sock, peer):
        data = b""
        while b"\r\n\r\n" not in data:
            more = sock.recv(65_536)
            if not more:
                return
            data += more
        found = {k.lower(): v for k, v in header_pattern.findall(data)}
        chunk_id = found[b"request-id"] + b"-" + found[b"attempt"]
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nTurmericreel-Request-Id: "
            + found[b"request-id"]
            + b"\r\nTurmericreel-Attempt: "
            + found[b"attempt"]
            + b"\r\n\r\n"
        )
        began = time.monotonic()
        for n in range(N_TOKENS):
            event = (
                b'data: {"id":"%s","object":"chat.completion.chunk","model":"m",'
                b'"choices":[{"index":0,"delta":{"content":"word%d "},'
                b'"finish_reason":null}]}\n\n' % (chunk_id, n)
            )
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            gevent.sleep(max(began + (n + 1) * BETWEEN_TOKENS_S - time.monotonic(), 0))
        last = (
            b'data: {"id":"%s","choices":[{"index":0,"delta":{},"finish_reason":'
            b'"stop"}],"usage":{"prompt_tokens":5,"completion_tokens":%d}}\n\n'
            b"data: [DONE]\n\n" % (chunk_id, N_TOKENS)
        )
        sock.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(last), last))

    server = StreamServer(("127.0.0.1", 0), handle, backlog=1_024)
    server.start()
    body = {
        "server": name,
        "incarnation": 1,
        "service": "helper-llm",
        "versions": ["small"],
        "data_centre": "local",
        "address": f"127.0.0.1:{server.server_port}",
        "capacity": 1_000,
        "neighbour": "ovenslot",
    }
    host, _, port = home.rpartition(":")
    while True:
        client = HTTPClient(host, port=int(port))
        try:
            client.post("/v1/backend/announce", body=json.dumps(body).encode()).read()
        except Exception as error:
            # Keeps announcing after an error; the parent process kills the stand-in.
            print(error, file=sys.stderr)
        finally:
            client.close()
        gevent.sleep(1.0)


def open_streams(home: str, key: str, n_streams: int, ramp_s: float) -> None:
    """Open streams at a steady rate and print the counts and the gaps of tokens.

    Parameters
    ----------
    home : str
        Address of the entry instance.
    key : str
    n_streams : int
    ramp_s : float
        Time over which the streams are opened.
    """
    import turmericreel.util.event_loop  # noqa: F401, I001
    import gevent
    from gevent.socket import create_connection

    host, _, port = home.rpartition(":")
    counts = {"tokens": 0, "whole": 0, "other": 0}
    gaps: list[float] = []

    def stream(number: int) -> None:
        gevent.sleep(ramp_s * number / n_streams)
        body = json.dumps(
            {
                "model": "helper-llm",
                "stream": True,
                "max_tokens": N_TOKENS,
                "messages": [
                    {"role": "user", "content": f"hello {os.getpid()} {number}"}
                ],
            }
        ).encode()
        sock = create_connection((host, int(port)))
        sock.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"Content-Type: application/json\r\nAuthorization: Bearer %s\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (key.encode(), len(body), body)
        )
        tail = b""
        last = None
        while data := sock.recv(65_536):
            n_tokens = data.count(b'"content":"word')
            counts["tokens"] += n_tokens
            now = time.monotonic()
            if n_tokens and last is not None:
                gaps.append(now - last)
            last = now
            tail = (tail + data)[-64:]
        counts["whole" if b"data: [DONE]" in tail else "other"] += 1

    began = time.monotonic()
    gevent.joinall([gevent.spawn(stream, n) for n in range(n_streams)])
    gaps.sort()
    counts["seconds"] = time.monotonic() - began
    counts["gap_p95_ms"] = round(gaps[int(len(gaps) * 0.95)] * 1_000, 1)
    print(json.dumps(counts))


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def free_port() -> int:
    """Return a port of the loopback that was free when checked."""
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def measure(package: str, n_streams: int, ramp_s: float) -> dict:
    """Measure the program in one source tree.

    Parameters
    ----------
    package : str
        Folder that contains the package.
    n_streams : int
        Streams over all callers.
    ramp_s : float
        Time over which the streams are opened.
    """
    from turmericreel.util.keys import hash_key, new_key

    env = {**os.environ, "PYTHONPATH": package}
    operator, caller = new_key(), new_key()
    home = f"127.0.0.1:{free_port()}"
    processes = []

    def start(*arguments: str, **options):
        process = subprocess.Popen(
            [sys.executable, *arguments], env=env, cwd=package, **options
        )
        processes.append(process)
        return process

    with tempfile.TemporaryDirectory() as folder:
        try:
            settings = Path(folder) / "settings.toml"
            settings.write_text(
                SETTINGS.format(
                    folder=folder,
                    port=home.rpartition(":")[2],
                    operator_hash=hash_key(operator),
                )
            )
            text = Path(folder) / "text.toml"
            text.write_text(TEXT.format(caller_hash=hash_key(caller)))
            with open(Path(folder) / "log", "w") as log:
                instance = start(
                    "-m",
                    "turmericreel",
                    "serve",
                    "--settings",
                    str(settings),
                    stderr=log,
                    stdout=log,
                )
            time.sleep(2.0)
            submit = ["submit", str(text), "--base", "0", "--key", operator]
            start("-m", "turmericreel", *submit, "--address", home, stdout=-3).wait(
                timeout=20
            )
            script = str(Path(__file__).resolve())
            for n in range(N_SERVERS):
                start(script, "--role", "server", "--home", home, "--name", f"oven-{n}")
            time.sleep(2.5)
            before = cpu_seconds(instance.pid)
            callers = [
                start(
                    *(script, "--role", "caller", "--home", home, "--key", caller),
                    *("--streams", str(n_streams // N_CALLERS), "--ramp", str(ramp_s)),
                    stdout=subprocess.PIPE,
                )
                for _ in range(N_CALLERS)
            ]
            answers = [json.loads(c.communicate(timeout=120)[0]) for c in callers]
            used = cpu_seconds(instance.pid) - before
        finally:
            for process in processes:
                if process.poll() is None:
                    process.send_signal(signal.SIGKILL)
                    process.wait()
    n_tokens = sum(a["tokens"] for a in answers)
    seconds = max(a["seconds"] for a in answers)
    return {
        "n_streams": n_streams,
        "n_tokens": n_tokens,
        "whole": sum(a["whole"] for a in answers),
        "other": sum(a["other"] for a in answers),
        "offered_tokens_per_s": round(n_streams / BETWEEN_TOKENS_S),
        "delivered_tokens_per_s": round(n_tokens / seconds),
        "core_seconds": round(used, 2),
        "tokens_per_core_second": round(n_tokens / used),
        "gap_p95_ms": max(a["gap_p95_ms"] for a in answers),
    }


def main() -> None:
    """Run the measurement, or a child process in the role that is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", default="measure")
    parser.add_argument("--home", default="")
    parser.add_argument("--name", default="")
    parser.add_argument("--key", default="")
    parser.add_argument("--streams", type=int, default=600)
    parser.add_argument("--ramp", type=float, default=2.0)
    parser.add_argument("--package", action="append", default=[])
    options = parser.parse_args()
    if options.role == "server":
        serve_tokens(options.home, options.name)
    elif options.role == "caller":
        open_streams(options.home, options.key, options.streams, options.ramp)
    else:
        here = str(Path(__file__).resolve().parents[1])
        results = {}
        for package in options.package or [here]:
            result = measure(package, options.streams, options.ramp)
            results["this" if package == here else Path(package).name] = result
            print(json.dumps(result))
        kept = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
        kept["relay"] = results
        RESULTS.write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    main()
