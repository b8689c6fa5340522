"""Replicated routing state: configuration, roll-outs, evacuations and usage.

A configuration is stored as the document that the operator sent, so that reading it
returns the same bytes; only a codec interprets it.
"""

import msgspec

from turmericreel.model.evacuation import Evacuation
from turmericreel.model.ids import (
    DataCentreId,
    Incarnation,
    InstanceId,
    Revision,
    ServiceName,
    VersionId,
)
from turmericreel.model.routing import Rollout, RolloutStage
from turmericreel.model.usage import UsageAmounts, UsageBatch, UsageItem, UsageKey
from turmericreel.state.commands.base import CommandStruct, Done
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.replicated_machine import ReplicatedMachine


class SubmitRouting(CommandStruct):
    """Apply a configuration if its revision is newer than the current one."""

    revision: Revision
    document: bytes


class OrderRollout(CommandStruct):
    """Start a roll-out that moves a service's traffic to a version in a given time."""

    service: ServiceName
    target: VersionId
    duration_ms: int


class MoveRollout(CommandStruct):
    """Move a roll-out to another stage if it is the newest and has not ended."""

    service: ServiceName
    number: int
    stage: RolloutStage
    bound_sessions: tuple[int, ...] = ()
    canary_share: float | None = None


class RecordUsage(CommandStruct):
    """Add the usage that gateways counted; repeated batches change nothing."""

    batches: tuple[UsageBatch, ...]


class OrderEvacuation(CommandStruct):
    """Evacuate a data centre, or withdraw that; members of older builds fail on it."""

    data_centre: DataCentreId
    is_evacuated: bool


RoutingCommand = (
    SubmitRouting | OrderRollout | MoveRollout | RecordUsage | OrderEvacuation
)

ENDED_STAGES = (RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK)


class _Snapshot(msgspec.Struct, kw_only=True):
    applied_index: int
    revision: Revision
    document: bytes
    rollouts: list[Rollout]
    usage: list[UsageItem] = []
    last_batches: dict[InstanceId, tuple[Incarnation, int]] = {}
    evacuations: list[Evacuation] = []


class RoutingMachine(ReplicatedMachine):
    """The newest routing document, roll-outs and evacuations, and the usage.

    Attributes
    ----------
    revision : Revision
        0 before the first configuration.
    document : bytes
    rollouts : dict of ServiceName to Rollout
    usage : dict of UsageKey to UsageAmounts
        Totals since the group was formed.
    last_batches : dict of InstanceId to tuple
        Incarnation and number of the last batch of each gateway.
    evacuations : dict of DataCentreId to Evacuation
        The newest order on each data centre, also if withdrawn.
    """

    def __init__(self):
        self.applied_index = 0
        self.revision = Revision(0)
        self.document = b""
        self.rollouts: dict[ServiceName, Rollout] = {}
        self.usage: dict[UsageKey, UsageAmounts] = {}
        self.last_batches: dict[InstanceId, tuple[Incarnation, int]] = {}
        self.evacuations: dict[DataCentreId, Evacuation] = {}

    def apply(self, record: LogRecord) -> Done:
        """Apply one record; `changed` is True if it had an effect."""
        self.applied_index = record.index
        match record.command:
            case SubmitRouting() as command:
                return Done(changed=self._submit(command))
            case OrderRollout() as command:
                return Done(changed=self._order(command, record.time_ms))
            case MoveRollout() as command:
                return Done(changed=self._move(command))
            case RecordUsage() as command:
                return Done(changed=self._record(command))
            case OrderEvacuation() as command:
                return Done(changed=self._evacuate(command, record.index))
        return Done(changed=False)

    def dump(self) -> bytes:
        """Return a snapshot of the state."""
        snapshot = _Snapshot(
            applied_index=self.applied_index,
            revision=self.revision,
            document=self.document,
            rollouts=list(self.rollouts.values()),
            usage=[UsageItem(key=k, amounts=a) for k, a in self.usage.items()],
            last_batches=self.last_batches,
            evacuations=list(self.evacuations.values()),
        )
        return msgspec.msgpack.encode(snapshot)

    def load(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot."""
        loaded = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        self.applied_index = loaded.applied_index
        self.revision = loaded.revision
        self.document = loaded.document
        self.rollouts = {rollout.service: rollout for rollout in loaded.rollouts}
        self.usage = {item.key: item.amounts for item in loaded.usage}
        self.last_batches = loaded.last_batches
        self.evacuations = {e.data_centre: e for e in loaded.evacuations}

    def _submit(self, command: SubmitRouting) -> bool:
        if command.revision <= self.revision:
            return False
        self.revision = command.revision
        self.document = command.document
        return True

    def _order(self, command: OrderRollout, time_ms: int) -> bool:
        known = self.rollouts.get(command.service)
        # An operator repeats an order whose answer was lost; it must change nothing.
        if known is not None and known.target == command.target:
            return False
        self.rollouts[command.service] = Rollout(
            service=command.service,
            target=command.target,
            number=known.number + 1 if known is not None else 1,
            began_ms=time_ms,
            deadline_ms=time_ms + command.duration_ms,
        )
        return True

    def _move(self, command: MoveRollout) -> bool:
        known = self.rollouts.get(command.service)
        if (
            known is None
            or known.number != command.number
            or known.stage in ENDED_STAGES
        ):
            return False
        bound = command.bound_sessions or known.bound_sessions
        share = command.canary_share
        moved = msgspec.structs.replace(
            known,
            stage=command.stage,
            bound_sessions=bound,
            canary_share=known.canary_share if share is None else share,
        )
        self.rollouts[command.service] = moved
        return moved != known

    def _evacuate(self, command: OrderEvacuation, index: int) -> bool:
        known = self.evacuations.get(command.data_centre)
        was_evacuated = known is not None and known.is_evacuated
        if command.is_evacuated == was_evacuated:
            return False
        self.evacuations[command.data_centre] = Evacuation(
            data_centre=command.data_centre,
            number=index,
            is_evacuated=command.is_evacuated,
        )
        return True

    def _record(self, command: RecordUsage) -> bool:
        changed = False
        for batch in command.batches:
            position = (batch.incarnation, batch.number)
            if position <= self.last_batches.get(batch.gateway, (0, 0)):
                continue
            self.last_batches[batch.gateway] = position
            changed = True
            for item in batch.items:
                known = self.usage.get(item.key, UsageAmounts())
                self.usage[item.key] = known.plus(item.amounts)
        return changed
