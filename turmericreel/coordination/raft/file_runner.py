"""Where blocking file operations run: in threads, or in place."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from gevent import Greenlet, get_hub, joinall, spawn

from turmericreel.model.failures import FailureError

Callback = Callable[[Any], None]


class Job(ABC):
    """A function that runs beside the task."""

    @abstractmethod
    def wait(self) -> None:
        """Wait until it has ended and its `done` has been called."""


class FileRunner(ABC):
    """Runs blocking functions on behalf of one task."""

    @abstractmethod
    def run(self, function: Callable, *args: Any) -> Any:
        """Run to the end and return the result, or raise what it raised."""

    @abstractmethod
    def begin(self, function: Callable, *args: Any, done: Callback) -> Job:
        """Run beside the task, then call `done` with the result or `FailureError`."""

    @abstractmethod
    def wait(self) -> None:
        """Wait until nothing runs, also on behalf of a task that was killed."""


class CompletedJob(Job):
    """A job that ran in place."""

    def wait(self) -> None:
        """Return at once."""


class DirectRunner(FileRunner):
    """Runs in place, for embedders without an event loop and for tests."""

    def run(self, function: Callable, *args: Any) -> Any:
        """Run to the end and return the result."""
        return function(*args)

    def begin(self, function: Callable, *args: Any, done: Callback) -> Job:
        """Run in place."""
        done(_result_or_error(function, args))
        return CompletedJob()

    def wait(self) -> None:
        """Return at once."""


class ThreadJob(Job):
    """A job in the event loop's thread pool."""

    def __init__(self, *, greenlet: Greenlet):
        self.greenlet = greenlet

    def wait(self) -> None:
        """Wait until it has ended."""
        self.greenlet.join()


class ThreadRunner(FileRunner):
    """Runs in the event loop's thread pool, so that other tasks go on."""

    def __init__(self):
        self.current = None
        self.background: set[Greenlet] = set()

    def run(self, function: Callable, *args: Any) -> Any:
        """Run in a thread and wait for it."""
        self.current = get_hub().threadpool.spawn(function, *args)
        return self.current.get()

    def begin(self, function: Callable, *args: Any, done: Callback) -> Job:
        """Run in a thread beside the task."""
        greenlet = spawn(self._run_in_background, function, args, done)
        self.background.add(greenlet)
        greenlet.link(self.background.discard)
        return ThreadJob(greenlet=greenlet)

    def wait(self) -> None:
        """Wait until nothing runs."""
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
