"""Directory of live entry instances, which the leader merges from all relays."""

from collections.abc import Iterable
from dataclasses import dataclass

from turmericreel.model.ids import InstanceId
from turmericreel.protocols.control_messages import InstanceInfo, InstancesPush
from turmericreel.util.change_feed import ChangeFeed
from turmericreel.util.clock import Clock

MAX_ABSENT_INSTANCES = 1_000


@dataclass(frozen=True, kw_only=True)
class ListedInstance:
    """An entry instance and the stream that reported it last.

    Attributes
    ----------
    via : object
        Identifies the stream.
    removal_deadline : float or None
        Set when that stream was lost: time in seconds on the monotonic clock at which
        the instance is removed unless it is reported again.
    present : bool
        False for a removed instance, which is kept so that its removal can be sent.
    """

    info: InstanceInfo
    via: object
    removal_deadline: float | None = None
    present: bool = True


class Directory:
    """Entry instances in the order of their changes.

    Parameters
    ----------
    clock : Clock
    grace_s : float
        Seconds for which an instance stays listed after its stream was lost.
    """

    def __init__(self, *, clock: Clock, grace_s: float):
        self.clock = clock
        self.grace_s = grace_s
        self.feed: ChangeFeed[InstanceId, ListedInstance] = ChangeFeed()

    def record_instance(self, info: InstanceInfo, *, via: object) -> None:
        """Add or update an instance that a stream reported.

        A report from an older incarnation than the listed one is ignored.
        """
        known = self.feed.values.get(info.instance)
        if known is not None and known.present:
            if known.info.incarnation > info.incarnation:
                return
            if known.info == info:
                self._update_in_place(ListedInstance(info=info, via=via))
                return
        self._put(ListedInstance(info=info, via=via))

    def mark_stream_lost(self, via: object, *, grace_s: float | None = None) -> None:
        """Set the removal deadline of the instances that a lost stream reported.

        Parameters
        ----------
        via : object
        grace_s : float or None
            Seconds until they are removed; None for the directory's `grace_s`.
        """
        grace_s = self.grace_s if grace_s is None else grace_s
        deadline = self.clock.monotonic() + grace_s
        for listed in self.live():
            if listed.via is via:
                self._update_in_place(
                    ListedInstance(info=listed.info, via=via, removal_deadline=deadline)
                )

    def remove(self, instances: Iterable[InstanceId], *, via: object) -> None:
        """Remove instances, except those that another stream has reported since."""
        for instance in instances:
            listed = self.feed.values.get(instance)
            if listed is not None and listed.present and listed.via is via:
                self._put(ListedInstance(info=listed.info, via=via, present=False))

    def remove_expired(self) -> None:
        """Remove instances whose removal deadline has passed."""
        now = self.clock.monotonic()
        for listed in self.live():
            if listed.removal_deadline is not None and listed.removal_deadline <= now:
                self.remove([listed.info.instance], via=listed.via)

        self._drop_oldest_absent()

    def reassign_all(self, via: object) -> None:
        """Attribute all listed instances to one stream and clear their deadlines."""
        for listed in self.live():
            self._update_in_place(ListedInstance(info=listed.info, via=via))

    def _drop_oldest_absent(self) -> None:
        absent = [key for key in self.feed.changed if not self.feed.values[key].present]
        for key in absent[: max(0, len(absent) - MAX_ABSENT_INSTANCES)]:
            self.feed.forget(key)

    def live(self) -> list[ListedInstance]:
        """Return all present instances, including those that are leaving."""
        return [entry for entry in self.feed.values.values() if entry.present]

    def infos(self) -> tuple[InstanceInfo, ...]:
        """Return the present instances that are not leaving, sorted by name."""
        infos = [entry.info for entry in self.live() if not entry.info.leaving]
        return tuple(sorted(infos, key=lambda info: info.instance))

    def push_since(self, index: int | None) -> InstancesPush | None:
        """Return the changes since an index as a message, or None without changes.

        With None as index, or if the changes since it are no longer kept, the message
        holds all present instances.
        """
        changes = self.feed.since(index) if index is not None else None
        if changes is None:
            listed_infos = tuple(entry.info for entry in self.live())
            return InstancesPush(instances=listed_infos, whole=True)
        if not changes:
            return None
        return InstancesPush(
            instances=tuple(e.info for e in changes if e.present),
            gone=tuple(e.info.instance for e in changes if not e.present),
        )

    def apply(self, message: InstancesPush, *, via: object) -> None:
        """Apply the instances that another control instance reported."""
        if message.whole:
            reported = {info.instance for info in message.instances}
            missing = [
                entry.info.instance
                for entry in self.live()
                if entry.via is via and entry.info.instance not in reported
            ]
            self.remove(missing, via=via)
        for info in message.instances:
            self.record_instance(info, via=via)
        self.remove(message.gone, via=via)

    def _put(self, listed: ListedInstance) -> None:
        self.feed.put(listed.info.instance, listed, index=self.feed.index + 1)

    def _update_in_place(self, listed: ListedInstance) -> None:
        self.feed.values[listed.info.instance] = listed
