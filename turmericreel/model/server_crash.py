"""Record of a server that ended while it ran a request."""

from enum import Enum

import msgspec
import xxhash

from turmericreel.model.ids import (
    BackendServerId,
    ClientAccountId,
    ContentDigest,
    Incarnation,
    PromptPartId,
    VersionId,
)
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.servers import BackendServer

PART_PREFIX = "part:"
ACCOUNT_SEPARATOR = "@"
# How long a crash counts against a content.
CRASH_RETENTION_MS = 600_000
# Clients choose the ids of parts; longer ones are hashed.
MAX_READABLE_PART = 64


class ServerProcess(msgspec.Struct, frozen=True, array_like=True):
    """One start of a server; a restarted server is another process."""

    server: BackendServerId
    incarnation: Incarnation


def part_digest(part: PromptPartId) -> ContentDigest:
    """Return the key under which the crashes of a prompt part are recorded."""
    if len(part) > MAX_READABLE_PART:
        part = PromptPartId(_hash(part))
    return ContentDigest(PART_PREFIX + part)


def content_of_account(
    shared: ContentDigest, account: ClientAccountId
) -> ContentDigest:
    """Return the key under which the crashes of one account's content are recorded."""
    return ContentDigest(f"{shared}{ACCOUNT_SEPARATOR}{_hash(account)}")


def shared_content(content: ContentDigest) -> ContentDigest:
    """Return the digest that a content has in common with those of other accounts."""
    return ContentDigest(content.partition(ACCOUNT_SEPARATOR)[0])


def is_part(content: ContentDigest) -> bool:
    """Return whether a key stands for a prompt part, not for a whole content."""
    return content.startswith(PART_PREFIX)


class CrashRefutation(Enum):
    """What showed that a content did not end a server process.

    `ANSWER` is an answer to the content, `EARLIER_ANSWER` one before the crash was
    reported, `HEARTBEAT` one of the process, `CUT_PATH` a connection to it through
    another gateway, and `REPORT` a record of another instance.
    """

    ANSWER = "answer"
    EARLIER_ANSWER = "earlier_answer"
    HEARTBEAT = "heartbeat"
    CUT_PATH = "cut_path"
    REPORT = "report"


class ServerCrash(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A server process that ended while it ran a content or a prompt part.

    Attributes
    ----------
    content : ContentDigest
        Of the whole content, or from `part_digest`.
    expires_ms : int
        Until when the crash counts against the content, in milliseconds on the
        monotonic clock of the holder or in the times of the replicated log.
    refuted : bool
        Whether the process or the content was later proven sound.
    revision : int
        Increases when the crash is recorded again after it was refuted.
    version : VersionId
        Version that the process ran; empty if it is not known.
    """

    content: ContentDigest
    process: ServerProcess
    expires_ms: int
    refuted: bool = False
    revision: int = 0
    version: VersionId = VersionId("")

    def age_ms(self, *, now_ms: int) -> int:
        """Return the time since the crash was recorded, in milliseconds."""
        return now_ms + CRASH_RETENTION_MS - self.expires_ms

    def report(self, *, now_ms: int) -> "CrashReport":
        """Return the record for other instances, whose clocks differ."""
        return CrashReport(
            content=self.content,
            process=self.process,
            left_ms=max(self.expires_ms - now_ms, 0),
            refuted=self.refuted,
            revision=self.revision,
            version=self.version,
        )


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A `ServerCrash` on its way to another instance.

    Attributes
    ----------
    left_ms : int
        Time for which the crash still counts, in milliseconds.
    """

    content: ContentDigest
    process: ServerProcess
    left_ms: int
    refuted: bool = False
    revision: int = 0
    version: VersionId = VersionId("")

    def record(self, *, now_ms: int) -> ServerCrash:
        """Return the record by the clock of the receiver."""
        return ServerCrash(
            content=self.content,
            process=self.process,
            expires_ms=now_ms + min(self.left_ms, CRASH_RETENTION_MS),
            refuted=self.refuted,
            revision=self.revision,
            version=self.version,
        )


def process_of(server: RegisteredServer | BackendServer) -> ServerProcess:
    """Return the process that a registration describes."""
    return ServerProcess(server.server, server.incarnation)


def _hash(text: str) -> str:
    return xxhash.xxh128_hexdigest(text.encode())
