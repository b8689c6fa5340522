"""Records of servers that ended under requests, as one coordinator keeps them."""

from collections.abc import Iterable

from eliot import log_message
from msgspec.structs import replace

from turmericreel.decisions.content_quarantine import ContentQuarantine
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.server_crash import (
    CrashRefutation,
    CrashReport,
    ServerCrash,
    process_of,
)
from turmericreel.util.clock import Clock


class CrashRecords:
    """Merges the records of gateways and other coordinators for distribution.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.quarantine = ContentQuarantine()
        # Stays the same, so that the state to save does not change with the clock.
        self.wall_offset_ms = clock.wall_ms() - self._now_ms()

    def merge(self, reports: Iterable[CrashReport]) -> list[CrashReport]:
        """Merge records of other instances; return those that are new here."""
        now_ms = self._now_ms()
        self.quarantine.drop_expired(now_ms=now_ms)
        crashes = [report.record(now_ms=now_ms) for report in reports]
        now = self.clock.monotonic()
        return self._reports(self.quarantine.merge(crashes, now=now, now_ms=now_ms))

    def record_heartbeat(self, reported: RegisteredServer) -> list[CrashReport]:
        """Record a heartbeat; return the records that it refutes."""
        process = process_of(reported)
        refuted = self.quarantine.record_heartbeat(process, now=self.clock.monotonic())
        now_ms = self._now_ms()
        for crash in refuted:
            log_message(
                "coordinator:crash_refuted",
                content=crash.content,
                server=process.server,
                incarnation=process.incarnation,
                refutation=CrashRefutation.HEARTBEAT.value,
                sequence=reported.sequence,
                age_ms=crash.age_ms(now_ms=now_ms),
            )
        return self._reports(refuted)

    def reports(self) -> list[CrashReport]:
        """Return all records for other instances."""
        return self._reports(self.quarantine.records())

    def saved(self) -> tuple[ServerCrash, ...]:
        """Return all records with wall times, for a restart."""
        return tuple(
            replace(crash, expires_ms=crash.expires_ms + self.wall_offset_ms)
            for crash in self.quarantine.records()
        )

    def restore(self, saved: Iterable[ServerCrash]) -> None:
        """Merge the records that were saved before a restart."""
        now_ms = self.clock.wall_ms()
        self.merge(crash.report(now_ms=now_ms) for crash in saved)

    def _reports(self, crashes: Iterable[ServerCrash]) -> list[CrashReport]:
        now_ms = self._now_ms()
        return [crash.report(now_ms=now_ms) for crash in crashes]

    def _now_ms(self) -> int:
        return int(self.clock.monotonic() * 1_000)
