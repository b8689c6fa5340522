"""Lease deadlines that are safe as long as the clock drift stays within a bound."""


def holder_deadline(*, sent_at: float, lease_ms: int, clock_drift: float) -> float:
    """Return when a lease expires for its holder.

    Parameters
    ----------
    sent_at : float
        Seconds on the holder's monotonic clock when the request was sent.
    lease_ms : int
        Length of the granted lease, in milliseconds.
    clock_drift : float
        Bound on how much faster or slower a clock runs, as a fraction.

    Returns
    -------
    float
        Seconds on the holder's monotonic clock.
    """
    return sent_at + lease_ms / 1_000 * (1 - clock_drift)


def grantor_deadline(*, granted_at: float, lease_ms: int, clock_drift: float) -> float:
    """Return when the grantor may treat a lease as expired.

    Parameters
    ----------
    granted_at : float
        Seconds on the grantor's monotonic clock when the lease was granted.
    lease_ms : int
        Length of the granted lease, in milliseconds.
    clock_drift : float
        Bound on how much faster or slower a clock runs, as a fraction.

    Returns
    -------
    float
        Seconds on the grantor's monotonic clock.
    """
    return granted_at + lease_ms / 1_000 * (1 + clock_drift)
