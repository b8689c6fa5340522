"""Admission of requests: the interface, and a policy that admits everything."""

from abc import ABC, abstractmethod

from turmericreel.model.failures import NotRun
from turmericreel.model.ids import RequestId, ServiceName
from turmericreel.model.request import Request
from turmericreel.model.text import ClientAccountText


class AdmissionPolicy(ABC):
    """Decides whether and when requests may start."""

    @abstractmethod
    def admit(
        self, request: Request, account: ClientAccountText, *, now: float
    ) -> NotRun | None:
        """Return None to admit the request, or the failure to answer with."""

    @abstractmethod
    def end(self, request: Request, *, now: float) -> None:
        """Record the end of an admitted request."""

    def set_n_instances(self, n_instances: int) -> None:  # noqa: B027
        """Set the number of instances that share the accounts' limits."""

    def begin(
        self,
        request: Request,
        account: ClientAccountText,
        *,
        n_slots: float,
        now: float,
    ) -> bool:
        """Start an admitted request, or queue it; return whether it started.

        Parameters
        ----------
        request : Request
        account : ClientAccountText
        n_slots : float
            Attempts that this instance may have in flight at the service's servers.
        now : float
            Seconds on the monotonic clock.
        """
        return True

    def withdraw(self, request: Request, *, now: float) -> None:  # noqa: B027
        """Remove a waiting request from the queue."""

    def next_ready(
        self, service: ServiceName, *, n_slots: float, now: float
    ) -> list[RequestId]:
        """Take the waiting requests that can start from the queue and return them."""
        return []

    def collect_dropped(self) -> list[RequestId]:
        """Return the waiting requests that were dropped since the last call."""
        return []

    def priority(
        self, request: Request, account: ClientAccountText, *, now: float
    ) -> int:
        """Return the priority to send to the engine; higher values run first."""
        return request.priority


class AdmitAll(AdmissionPolicy):
    """Admits everything; a baseline."""

    def admit(
        self, request: Request, account: ClientAccountText, *, now: float
    ) -> NotRun | None:
        """Admit the request."""
        return None

    def end(self, request: Request, *, now: float) -> None:
        """Do nothing."""
