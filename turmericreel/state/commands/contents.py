"""Commands and results for contents of requests that may crash backend servers."""

from enum import Enum

from turmericreel.model.ids import (
    BackendServerId,
    ContentDigest,
    Incarnation,
    VersionId,
)
from turmericreel.state.commands.base import CommandStruct


class AdmitContent(CommandStruct):
    """Request admission of one copy of a content to a server, before its dispatch.

    Parameters
    ----------
    copy : str
        Identifies the request and the attempt; unique among all copies.
    deadline_ms : int
        Wall time; a copy whose end is not reported by then counts as a crash.
    parts : tuple of ContentDigest
        Parts of the prompt that other requests may have too.
    """

    digest: ContentDigest
    copy: str
    version: VersionId
    server: BackendServerId
    incarnation: Incarnation
    deadline_ms: int
    parts: tuple[ContentDigest, ...] = ()


class ContentEnd(Enum):
    """How a copy of a content ended.

    `PROVED` means that it ran to completion, `CRASHED` that it counts as a crash, and
    `RELEASED` that it ended without either.
    """

    PROVED = "proved"
    RELEASED = "released"
    CRASHED = "crashed"


class EndContent(CommandStruct):
    """Record how an admitted copy ended."""

    digest: ContentDigest
    copy: str
    end: ContentEnd


class RefuteCrash(CommandStruct):
    """Take back a crash if the server process is still registered.

    The connection of a copy breaks as well if only the path to its server was lost.
    """

    digest: ContentDigest
    server: BackendServerId
    incarnation: Incarnation
    parts: tuple[ContentDigest, ...] = ()


class ContentAdmitted(CommandStruct):
    """The copy may be dispatched."""


class ContentWaits(CommandStruct):
    """The copy must wait, or if `other_server` is set may run at another server."""

    other_server: bool


class ContentQuarantined(CommandStruct):
    """The content crashed servers and is quarantined until `until_ms` (wall time)."""

    until_ms: int
