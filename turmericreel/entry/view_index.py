"""Index of the control view for requests, updated whenever the view changes."""

from turmericreel.coordination.control_client import ControlClient, ControlView
from turmericreel.decisions.dependencies import down_dependencies
from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.ids import ClientAccountId, ServiceName
from turmericreel.model.text import ClientAccountText, OperatorsText
from turmericreel.util.keys import KeyIndex

RETRY_AFTER_MS = 1_000


class ViewIndex:
    """Looks up client accounts by key, and the unavailable dependency of a service.

    Parameters
    ----------
    control : ControlClient
    """

    def __init__(self, *, control: ControlClient):
        self.control = control
        self.text: OperatorsText | None = None
        self.keys: KeyIndex[ClientAccountId] = KeyIndex(hashes=())
        self.down: dict[ServiceName, ServiceName] = {}
        self.refresh(control.view)
        control.view_callbacks.append(self.refresh)

    def refresh(self, view: ControlView) -> None:
        """Update the index from a changed view."""
        if view.text is not self.text:
            self.text = view.text
            self.keys = KeyIndex(hashes=_account_key_hashes(view.text))
        self.down = down_dependencies(view.text, view.servers.values())

    def authenticate(self, key: str) -> tuple[ClientAccountId, ClientAccountText]:
        """Return the client account that a key belongs to, with its settings.

        Raises
        ------
        FailureError
            With `NotRun` when the key is unknown, or cannot be checked because this
            instance has no valid lease.
        """
        account = self.keys.owner_of(key) if key else None
        if account is not None:
            return account, self.text.client_accounts[account]
        if not self.control.lease_valid():
            reason = NotRunReason.NO_CONFIGURATION
            raise _not_run(reason, "", retry_after_ms=RETRY_AFTER_MS)
        raise _not_run(NotRunReason.UNAUTHENTICATED, "")

    def check_dependencies(self, service: ServiceName) -> None:
        """Raise `NotRun` when a dependency of the service is down."""
        down = self.down.get(service)
        if down is not None:
            reason = NotRunReason.DEPENDENCY_DOWN
            raise _not_run(reason, f"{down} is down", retry_after_ms=RETRY_AFTER_MS)


def _account_key_hashes(text: OperatorsText):
    for name, account in text.client_accounts.items():
        for key_hash in account.key_hashes:
            yield name, key_hash


def _not_run(
    reason: NotRunReason, detail: str, *, retry_after_ms: int | None = None
) -> FailureError:
    return FailureError(
        NotRun(reason=reason, detail=detail, retry_after_ms=retry_after_ms)
    )
