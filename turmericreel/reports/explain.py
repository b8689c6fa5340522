"""Collects the log lines of one request from several processes.

Besides the lines with the request's id, the result has the lines that record changes
of the state of the processes that handled it (such as configuration, known servers and
roll-outs), shortly before and during the request.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

# Older state changes had taken effect long before the request arrived.
STATE_CHANGE_WINDOW_S = 5.0
STATE_CHANGE_TYPES = frozenset(
    {
        "gateway:started",
        "gateway:stopping",
        "gateway:configuration",
        "gateway:server",
        "gateway:rollout",
        "gateway:evacuation",
        "gateway:suspended",
        "gateway:quarantined",
        "gateway:coordinator_lost",
        "gateway:coordinator_connected",
        "log:dropped",
        "platform:reloaded",
    }
)
HIDDEN_FIELDS = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "request"}
)


@dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of the log of a process.

    Attributes
    ----------
    source : str
        Name of the log file.
    timestamp : float
        Unix seconds on the clock of the process.
    """

    source: str
    timestamp: float
    message_type: str
    request: str
    fields: dict

    @property
    def is_state_change(self) -> bool:
        """Whether the line records a change of the state of the process."""
        return self.message_type in STATE_CHANGE_TYPES


@dataclass(frozen=True, kw_only=True)
class Explanation:
    """Log lines that explain one request.

    Attributes
    ----------
    lines : list of LogLine
        Ordered by timestamp.
    n_unreadable : int
        Lines of the files that could not be read as log lines.
    """

    request: str
    lines: list[LogLine]
    n_unreadable: int

    @property
    def found(self) -> bool:
        """Whether any line carries the request's id."""
        return any(line.request == self.request for line in self.lines)


def read_lines(source: str, text: Iterable[bytes]) -> Iterator[LogLine | None]:
    """Yield the parsed lines of a file; None for one that is no log line.

    Text before the first brace is ignored, as log collectors put their own timestamps
    there.
    """
    for raw in text:
        start = raw.find(b"{")
        try:
            fields = msgspec.json.decode(raw[max(start, 0) :])
            yield LogLine(
                source=source,
                timestamp=float(fields["timestamp"]),
                message_type=str(fields.get("message_type", "")),
                request=str(fields.get("request", "")),
                fields={k: v for k, v in fields.items() if k not in HIDDEN_FIELDS},
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            yield None


def explain(request: str, lines: Iterable[LogLine | None]) -> Explanation:
    """Return a request's lines with the state changes of the processes it reached."""
    all_lines = list(lines)
    parsed = [line for line in all_lines if line is not None]
    request_lines = [line for line in parsed if line.request == request]
    spans = _spans(request_lines)
    state_changes = [
        line
        for line in parsed
        if line.is_state_change
        and line.source in spans
        and spans[line.source][0] - STATE_CHANGE_WINDOW_S
        <= line.timestamp
        <= spans[line.source][1]
    ]
    return Explanation(
        request=request,
        lines=sorted(request_lines + state_changes, key=lambda line: line.timestamp),
        n_unreadable=len(all_lines) - len(parsed),
    )


def _spans(request_lines: list[LogLine]) -> dict[str, tuple[float, float]]:
    spans: dict[str, tuple[float, float]] = {}
    for line in request_lines:
        took_s = line.fields.get("took_ms", 0) / 1_000
        first, last = spans.get(line.source, (line.timestamp, line.timestamp))
        first = min(first, line.timestamp - took_s)
        spans[line.source] = (first, max(last, line.timestamp))
    return spans
