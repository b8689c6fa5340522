"""A gateway or coordinator as a separate process with its own loopback address."""

import os
import shutil
import sys
from dataclasses import dataclass
from pathlib import Path
from signal import SIGCONT, SIGKILL
from subprocess import Popen

import msgspec


@dataclass(kw_only=True)
class PlatformProcess:
    """A gateway or coordinator process.

    Parameters
    ----------
    program : str
        Module to run.
    host : str
        Loopback address of the process.
    folder : Path
        Folder for settings and logs.
    settings : dict
        Content of the settings file, in the platform's format.
    is_under_fault : bool
        Whether an injected fault is acting on the process.
    """

    program: str
    host: str
    folder: Path
    settings: dict
    process: Popen | None = None
    is_under_fault: bool = False

    def start(self) -> None:
        """Start the process.

        The first start uses the given settings, later ones set ``Bootstrap`` to False.
        """
        if self.process is not None and self.process.poll() is None:
            raise RuntimeError(f"{self.host} is running already")
        path = self.folder / f"{self.host}.json"
        path.write_bytes(msgspec.json.encode(self.settings))
        self.settings = {**self.settings, "Bootstrap": False}
        log = (self.folder / f"{self.host}.log").open("ab")
        self.process = Popen(
            [sys.executable, "-m", self.program],
            env={**os.environ, "TURMERICREEL_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process exists, running or paused."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it exists."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(SIGCONT)
        self.signal(SIGKILL)
        self.process.wait()

    def lose_disk(self) -> None:
        """Kill the process and delete its data folder."""
        self.kill()
        shutil.rmtree(self.settings["DataDir"])
