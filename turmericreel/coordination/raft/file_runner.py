"""Runners of blocking file operations: in a thread pool or in the calling task."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from gevent import Greenlet, get_hub, joinall, spawn

from turmericreel.model.failures import FailureError

Callback = Callable[[Any], None]


class Job(ABC):
    """A function that runs in the background."""

    @abstractmethod
    def wait(self) -> None:
        """Wait until the function has ended and its `done` has been called."""


class FileRunner(ABC):
    """Runs blocking functions on behalf of one task."""

    @abstractmethod
    def run(self, function: Callable, *args: Any) -> Any:
        """Run a function and return its result; its exceptions are raised."""

    @abstractmethod
    def begin(self, function: Callable, *args: Any, done: Callback) -> Job:
        """Run in the background, then call `done` with the result or `FailureError`."""

    @abstractmethod
    def wait(self) -> None:
        """Wait until all functions have ended, including those of a killed task."""


class CompletedJob(Job):
    """A job that has already ended."""

    def wait(self) -> None:
        """Return immediately."""


class DirectRunner(FileRunner):
    """Runs in the calling task, for embedders without an event loop and for tests."""

    def run(self, function: Callable, *args: Any) -> Any:
        """Run a function and return its result."""
        return function(*args)

    def begin(self, function: Callable, *args: Any, done: Callback) -> Job:
        """Run the function and call `done` before returning."""
        done(_result_or_error(function, args))
        return CompletedJob()

    def wait(self) -> None:
        """Return immediately, since nothing runs in the background."""


class ThreadJob(Job):
    """A job in the event loop's thread pool."""

    def __init__(self, *, greenlet: Greenlet):
        self.greenlet = greenlet

    def wait(self) -> None:
        """Wait until the function has ended and its `done` has been called."""
        self.greenlet.join()


class ThreadRunner(FileRunner):
    """Runs in the event loop's thread pool, so that other tasks are not blocked."""

    def __init__(self):
        self.current = None
        self.background: set[Greenlet] = set()

    def run(self, function: Callable, *args: Any) -> Any:
        """Run a function in a thread, wait for it and return its result."""
        self.current = get_hub().threadpool.spawn(function, *args)
        return self.current.get()

    def begin(self, function: Callable, *args: Any, done: Callback) -> Job:
        """Run a function in a thread without waiting for it."""
        greenlet = spawn(self._run_in_background, function, args, done)
        self.background.add(greenlet)
        greenlet.link(self.background.discard)
        return ThreadJob(greenlet=greenlet)

    def wait(self) -> None:
        """Wait until all functions have ended."""
        if self.current is not None:
            self.current.wait()
        joinall(list(self.background))

    def _run_in_background(
        self, function: Callable, args: tuple, done: Callback
    ) -> None:
        done(get_hub().threadpool.apply(_result_or_error, (function, args)))


def _result_or_error(function: Callable, args: tuple) -> Any:
    try:
        return function(*args)
    except FailureError as error:
        return error
