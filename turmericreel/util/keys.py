"""API keys: random strings of which only hashes are stored."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable
from typing import Generic, TypeVar

KEY_BYTES = 24
HASH_PREFIX = "sha256:"
KEY_ID_DIGITS = 16

Owner = TypeVar("Owner")


def new_key() -> str:
    """Return a new random key."""
    return "tr_" + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hash of a key.

    A fast hash without salt is enough, as keys are random strings that are too long
    for a brute-force search.
    """
    encoded = key.encode(errors="surrogateescape")
    return HASH_PREFIX + hashlib.sha256(encoded).hexdigest()


def key_id(key_hash: str) -> str:
    """Return the public id of a key: the first digits of its hash."""
    return key_hash.removeprefix(HASH_PREFIX)[:KEY_ID_DIGITS]


class KeyIndex(Generic[Owner]):
    """Finds the owner of a key without comparing all hashes.

    The public id of a key selects the few hashes to compare.  These are compared in
    constant time, so the duration does not reveal where they differ.

    Parameters
    ----------
    hashes : iterable of (owner, str)
        Owners with the hashes of their keys.
    """

    def __init__(self, *, hashes: Iterable[tuple[Owner, str]]):
        self.by_id: dict[str, list[tuple[Owner, str]]] = {}
        for owner, key_hash in hashes:
            self.by_id.setdefault(key_id(key_hash), []).append((owner, key_hash))

    def owner_of(self, key: str) -> Owner | None:
        """Return the owner of a key, or None for an unknown key."""
        presented = hash_key(key)
        found = None
        for owner, known in self.by_id.get(key_id(presented), []):
            if hmac.compare_digest(presented, known):
                found = owner
        return found
