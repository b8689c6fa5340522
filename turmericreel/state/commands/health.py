"""Commands for the health of versions."""

from turmericreel.model.health import VersionStanding
from turmericreel.state.commands.base import CommandStruct


class SetVersionHealth(CommandStruct):
    """Suspend a version or readmit it step by step; the highest number applies."""

    standing: VersionStanding
    reason: str = ""
