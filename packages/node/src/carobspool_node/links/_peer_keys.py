"""Shared keys by which processes of the system prove themselves to each other.

The file holds every key that is accepted and names the one to use, so that keys are rotated
without a stop: add the new key everywhere, then use it everywhere, then remove the old one.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from pathlib import Path

import pyjson5

from carobspool_node.errors import HandshakeError, PeerKeysError

NONCE_BYTES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerKeys:
    """The accepted keys by id, and the id of the key to use."""

    keys: dict[str, bytes]
    use: str


def load_peer_keys(path: Path) -> PeerKeys:
    """Read the keys from a JSON-with-comments file.

    Raises:
        PeerKeysError: If the file is unreadable, has no key, or ``use`` names none of them.
    """
    try:
        content = pyjson5.decode(path.read_text(encoding="utf-8"))
        keys = {str(name): bytes.fromhex(value) for name, value in content["keys"].items()}
        use = str(content["use"])
    except Exception as error:
        raise PeerKeysError(f"{path}: not a file of peer keys: {error}") from error
    if use not in keys:
        raise PeerKeysError(f"{path}: 'use' names {use!r}, which is not among the keys")
    return PeerKeys(keys=keys, use=use)


def new_nonce() -> str:
    """Return a fresh nonce for a handshake."""
    return secrets.token_hex(NONCE_BYTES)


def make_proof(keys: PeerKeys, *, own_nonce: str, peer_nonce: str, role: str) -> tuple[str, str]:
    """Return key id and MAC that prove the knowledge of the key in use.

    Args:
        keys: The shared keys.
        own_nonce: Nonce that this side sent.
        peer_nonce: Nonce that the other side sent.
        role: This side's role; it keeps a proof from being reflected to its sender.
    """
    return keys.use, _mac(keys.keys[keys.use], peer_nonce, own_nonce, role)


def check_proof(
    keys: PeerKeys, *, key_id: str, mac: str, own_nonce: str, peer_nonce: str, role: str
) -> None:
    """Check the other side's proof.

    Raises:
        HandshakeError: If the key is unknown or the MAC is wrong.
    """
    key = keys.keys.get(key_id)
    if key is None:
        raise HandshakeError(f"peer uses the unknown key {key_id!r}")
    if not hmac.compare_digest(mac, _mac(key, own_nonce, peer_nonce, role)):
        raise HandshakeError("peer's proof does not match the shared key")


def _mac(key: bytes, challenge: str, answer: str, role: str) -> str:
    text = f"carobspool/1|{challenge}|{answer}|{role}"
    return hmac.new(key, text.encode(), hashlib.sha256).hexdigest()
