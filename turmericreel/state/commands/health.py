"""Commands for the health of versions."""

from turmericreel.model.health import VersionStanding
from turmericreel.state.commands.base import CommandStruct


class SetVersionHealth(CommandStruct):
    """Suspend a version or readmit it step by step.

    Of the standings of a version, the one with the highest number applies.
    """

    standing: VersionStanding
    reason: str = ""
