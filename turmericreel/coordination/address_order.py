"""Order in which a subscriber tries the control instances, and the pauses between."""

from random import Random

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 3.0


class AddressOrder:
    """Cycles through addresses, near ones first, with jittered exponential pauses.

    Parameters
    ----------
    near : list of str
        Addresses to try first, in this instance's data centre.
    far : list of str
        All other addresses.
    rng : Random
        Shuffles the addresses and draws the pauses, which distributes subscribers
        over addresses and reconnects over time.
    max_pause_s : float
        Upper bound of the pauses.
    """

    def __init__(
        self,
        *,
        near: list[str],
        far: list[str],
        rng: Random,
        max_pause_s: float = MAX_PAUSE_S,
    ):
        self.rng = rng
        self.max_pause_s = max_pause_s
        self.addresses = self._shuffled(near) + self._shuffled(far)
        self.position = 0
        self.n_failures = 0

    def _shuffled(self, addresses: list[str]) -> list[str]:
        return self.rng.sample(addresses, len(addresses))

    def current(self) -> str:
        """Return the address to use now."""
        return self.addresses[self.position]

    def prefer(self, address: str) -> None:
        """Make an address the current one, if it is in the list."""
        if address in self.addresses:
            self.position = self.addresses.index(address)

    def move_to_next(self) -> None:
        """Count a failure and make the next address the current one."""
        self.n_failures += 1
        self.position = (self.position + 1) % len(self.addresses)

    def record_success(self) -> None:
        """Reset the pauses after a success with the current address."""
        self.n_failures = 0

    def pause_s(self) -> float:
        """Return the seconds to wait before the next connection attempt.

        The pause is drawn below a bound that doubles only after all addresses have
        failed, so that subscribers of a lost control instance find another one before
        their leases expire.
        """
        n_rounds = self.n_failures // len(self.addresses)
        bound = min(FIRST_PAUSE_S * 2**n_rounds, self.max_pause_s)
        return self.rng.uniform(0, bound)
