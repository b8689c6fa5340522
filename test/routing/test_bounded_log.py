"""Logging never blocks, even if nothing reads the output."""

import os
from time import monotonic

import msgspec
from gevent import sleep

from turmericreel.util.bounded_log import BoundedLog


def messages_of(fd):
    os.set_blocking(fd, True)
    data = os.read(fd, 10_000_000)
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_lines_are_written_in_order():
    reader, writer = os.pipe()
    log = BoundedLog(fd=writer)
    log.start()
    for number in range(5):
        log({"message_type": "a", "number": number})
    log.flush(1.0)
    assert [m["number"] for m in messages_of(reader)] == list(range(5))
    log.task.kill()


def test_unread_output_does_not_block_logging():
    _, writer = os.pipe()
    log = BoundedLog(fd=writer, max_lines=100, max_ordinary_lines=50)
    log.start()
    began = monotonic()
    for number in range(5_000):
        log({"message_type": "a", "text": "x" * 200, "number": number})
        if number % 500 == 0:
            sleep(0)
    assert monotonic() - began < 2.0
    assert len(log.lines) <= 100
    assert log.n_dropped > 4_000
    log.task.kill()


def test_ordinary_lines_are_dropped_before_others_and_counted():
    reader, writer = os.pipe()
    log = BoundedLog(
        fd=writer, ordinary_types=["ordinary"], max_lines=10, max_ordinary_lines=4
    )
    for _ in range(8):
        log({"message_type": "ordinary"})
    for _ in range(8):
        log({"message_type": "failure"})
    assert log.n_dropped == 4 + 2
    log.start()
    log.flush(1.0)
    types = [m["message_type"] for m in messages_of(reader)]
    assert types.count("ordinary") == 4
    assert types.count("failure") == 6
    assert types[-1] == "log:dropped"
    log.task.kill()


def test_closed_output_ends_only_the_writer_task():
    reader, writer = os.pipe()
    log = BoundedLog(fd=writer)
    log.start()
    os.close(reader)
    log({"message_type": "a"})
    sleep(0.05)
    log({"message_type": "a"})
    assert log.task.ready()
