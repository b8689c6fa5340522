"""A gateway or a coordinator as a process of its own, with an address of its own."""

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
    """One process; `is_under_fault` while a fault acts on it.

    Parameters
    ----------
    program : str
        Module of the package `turmericreel.platform`.
    host : str
        Address on the loopback.
    folder : Path
        For settings and logs.
    settings : dict
        As the platform writes them.
    """

    program: str
    host: str
    folder: Path
    settings: dict
    process: Popen | None = None
    is_under_fault: bool = False

    def start(self) -> None:
        """Start the process, with settings as at a restart from then on."""
        if self.process is not None and self.process.poll() is None:
            raise RuntimeError(f"{self.host} runs already")
        path = self.folder / f"{self.host}.json"
        path.write_bytes(msgspec.json.encode(self.settings))
        self.settings = {**self.settings, "Bootstrap": False}
        log = (self.folder / f"{self.host}.log").open("ab")
        self.process = Popen(
            [sys.executable, "-m", f"turmericreel.platform.{self.program}"],
            env={**os.environ, "TURMERICREEL_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process is there, perhaps paused."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process that was started here."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(SIGCONT)
        self.signal(SIGKILL)
        self.process.wait()

    def lose_disk(self) -> None:
        """Kill the process and empty its data folder."""
        self.kill()
        shutil.rmtree(self.settings["DataDir"])
