"""Which control instance to subscribe to next, and after which pause."""

from random import Random

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 3.0


class AddressOrder:
    """Goes through addresses, the near ones first, with jittered growing pauses.

    Parameters
    ----------
    near : list of str
        Addresses to try first, in this instance's data centre.
    far : list of str
    rng : Random
        Spreads subscribers over addresses, and reconnects over time.
    longest_pause_s : float
    """

    def __init__(
        self,
        *,
        near: list[str],
        far: list[str],
        rng: Random,
        longest_pause_s: float = LONGEST_PAUSE_S,
    ):
        self.rng = rng
        self.longest_pause_s = longest_pause_s
        self.addresses = self._shuffled(near) + self._shuffled(far)
        self.position = 0
        self.n_failures = 0

    def _shuffled(self, addresses: list[str]) -> list[str]:
        return self.rng.sample(addresses, len(addresses))

    def current(self) -> str:
        """Return the address to use now."""
        return self.addresses[self.position]

    def prefer(self, address: str) -> None:
        """Use an address next, if it is one of the known ones."""
        if address in self.addresses:
            self.position = self.addresses.index(address)

    def move_to_next(self) -> None:
        """Use the next address from here on."""
        self.n_failures += 1
        self.position = (self.position + 1) % len(self.addresses)

    def record_success(self) -> None:
        """Remember that the current address is of use."""
        self.n_failures = 0

    def pause_s(self) -> float:
        """Return seconds to wait before the next connection.

        The pause grows once every address has failed, so that the subscribers of one
        lost control instance find another before their leases run out.
        """
        n_rounds = self.n_failures // len(self.addresses)
        bound = min(FIRST_PAUSE_S * 2**n_rounds, self.longest_pause_s)
        return self.rng.uniform(0, bound)
