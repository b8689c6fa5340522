"""Key lookup uses the public id, so its cost is independent of the account count."""

from turmericreel.util.keys import KeyIndex, hash_key, key_id, new_key


class CountingHashes(dict):
    """A dict that counts the candidates that lookups return."""

    n_candidates = 0

    def get(self, key, default=None):
        """Return the candidates of a public id."""
        found = super().get(key, default)
        self.n_candidates += len(found)
        return found


def test_owner_lookup_checks_one_candidate():
    keys = {f"account-{n}": new_key() for n in range(10_000)}
    index = KeyIndex(hashes=[(owner, hash_key(k)) for owner, k in keys.items()])
    index.by_id = CountingHashes(index.by_id)
    assert index.owner_of(keys["account-9999"]) == "account-9999"
    assert index.owner_of(keys["account-0"] + "x") is None
    assert index.by_id.n_candidates == 1


def test_key_with_same_public_id_is_rejected():
    known = hash_key("tr_one")
    other = known[:-1] + ("0" if known[-1] != "0" else "1")
    assert key_id(known) == key_id(other)
    index = KeyIndex(hashes=[("other", other)])
    assert index.owner_of("tr_one") is None
