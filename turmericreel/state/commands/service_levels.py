"""Commands for recording service levels."""

from turmericreel.model.ids import (
    Incarnation,
    InstanceId,
)
from turmericreel.model.service_levels import LevelRecord
from turmericreel.state.commands.base import CommandStruct


class RecordServiceLevels(CommandStruct):
    """Add the measurements that an instance made since its previous record.

    Sequence numbers increase within an incarnation, so a record that is sent again
    is not added twice.
    """

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    records: tuple[LevelRecord, ...]
