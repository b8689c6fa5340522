"""Decides which clients may subscribe to a control instance, and redirects the rest."""

from turmericreel.protocols.control_messages import Hello, Redirected, SubscriberRole

FULL_RETRY_MS = 200


def redirect_for(
    hello: Hello, *, is_leader: bool, leader_hint: str, n_entries: int, fan_out: int
) -> Redirected | None:
    """Return the redirect for a new subscriber, or None if it is admitted.

    Parameters
    ----------
    hello : Hello
    is_leader : bool
    leader_hint : str
        Control address of the leader by the local view, or ``""``.
    n_entries : int
        Number of entry instances subscribed already.
    fan_out : int
        Maximum number of subscribed entry instances.
    """
    if hello.role is SubscriberRole.RELAY:
        # Relays subscribe to the leader only, so that they can't form a cycle.
        return None if is_leader else Redirected(address=leader_hint)
    if n_entries < fan_out:
        return None
    return Redirected(retry_after_ms=FULL_RETRY_MS)
