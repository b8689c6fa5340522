"""Base class of commands and results, and those that no table owns."""

import msgspec

from turmericreel.model.failures import FailureWire


class CommandStruct(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of commands and results; the class name is the tag on the wire."""


class Tick(CommandStruct):
    """Advance the log time, so that tables expire records without other commands."""


class Done(CommandStruct):
    """The command was applied; `changed` is False if it had no effect."""

    changed: bool = True


class Rejected(CommandStruct):
    """The command was rejected when it was applied."""

    failure: FailureWire
