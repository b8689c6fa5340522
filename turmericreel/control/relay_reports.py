"""Reports of a relay to the leader about its subscribers."""

from itertools import count

from gevent import sleep, spawn
from gevent.event import Event

from turmericreel.control.subscriptions import Subscribers
from turmericreel.coordination.control_client import ControlClient

CONFIRM_BATCH_S = 0.01
INSTANCES_INTERVAL_S = 0.5
REPORTS_PER_WHOLE_REPORT = 20


class RelayReports:
    """Tasks that report confirmed revisions and entry instances to the leader.

    Parameters
    ----------
    client : ControlClient
        Subscribed to the leader as a relay.
    subscribers : Subscribers
    """

    def __init__(self, *, client: ControlClient, subscribers: Subscribers):
        self.client = client
        self.subscribers = subscribers
        self.confirmations_changed = Event()
        self.reported_index: int | None = None
        self.tasks = []
        client.holders = subscribers.holder_counts
        client.connect_callbacks.append(self._on_connected)

    def start(self) -> None:
        """Start the tasks."""
        self.tasks = [spawn(self._confirm_loop), spawn(self._instances_loop)]

    def stop(self) -> None:
        """Stop the tasks."""
        for task in self.tasks:
            task.kill()

    def _on_connected(self) -> None:
        self.reported_index = None
        self.report_instances()

    def _confirm_loop(self) -> None:
        while True:
            self.confirmations_changed.wait()
            # Confirmations of many subscribers are reported with one renewal.
            sleep(CONFIRM_BATCH_S)
            self.confirmations_changed.clear()
            self.client.renew_now()

    def _instances_loop(self) -> None:
        # Every `REPORTS_PER_WHOLE_REPORT` reports, all instances are reported: the
        # leader may have removed an instance that moved here when its previous relay
        # reported it as gone.
        for n_reports in count(1):
            sleep(INSTANCES_INTERVAL_S)
            if n_reports % REPORTS_PER_WHOLE_REPORT == 0:
                self.reported_index = None
            self.report_instances()

    def report_instances(self) -> None:
        """Report the changes of this relay's instances since the last report."""
        directory = self.subscribers.local_directory
        push = directory.push_since(self.reported_index)
        index = directory.feed.index
        if push is not None and self.client.send(push):
            self.reported_index = index
