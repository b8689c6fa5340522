"""Whether and when a request may begin: the interface and the open door."""

from abc import ABC, abstractmethod

from turmericreel.model.failures import NotRun
from turmericreel.model.ids import RequestId, ServiceName
from turmericreel.model.request import Request
from turmericreel.model.text import ClientAccountText


class AdmissionPolicy(ABC):
    """Admits requests, and is told when each has ended."""

    @abstractmethod
    def admit(
        self, request: Request, account: ClientAccountText, *, now: float
    ) -> NotRun | None:
        """Return None to admit, or the failure to answer with at once."""

    @abstractmethod
    def end(self, request: Request, *, now: float) -> None:
        """Count an admitted request out."""

    def set_n_instances(self, n_instances: int) -> None:  # noqa: B027
        """Learn how many instances share the accounts' limits."""

    def begin(
        self,
        request: Request,
        account: ClientAccountText,
        *,
        n_slots: float,
        now: float,
    ) -> bool:
        """Count an admitted request in; return False if it must wait for its turn.

        Parameters
        ----------
        request : Request
        account : ClientAccountText
        n_slots : float
            Attempts that this instance may keep at the service's servers.
        now : float
            Seconds on the monotonic clock.
        """
        return True

    def withdraw(self, request: Request, *, now: float) -> None:  # noqa: B027
        """Take a waiting request out of the queue."""

    def next_ready(
        self, service: ServiceName, *, n_slots: float, now: float
    ) -> list[RequestId]:
        """Return the waiting requests whose turn has come, and count them in."""
        return []

    def collect_dropped(self) -> list[RequestId]:
        """Return the waiting requests that gave way to others."""
        return []

    def priority(
        self, request: Request, account: ClientAccountText, *, now: float
    ) -> int:
        """Return the priority that the engine is told; higher goes first."""
        return request.priority


class AdmitAll(AdmissionPolicy):
    """Admits everything; a baseline."""

    def admit(
        self, request: Request, account: ClientAccountText, *, now: float
    ) -> NotRun | None:
        """Admit."""
        return None

    def end(self, request: Request, *, now: float) -> None:
        """Do nothing."""
