"""Keys that nodes share and that last over a restart: of session tickets, of Retry tokens, of stateless resets.

One secret, three keys of it (HKDF-Expand, RFC 5869). Where there are several secrets the first one makes what is new,
and all of them open what is old: that is how a secret is replaced without a break. What is made names no state, so any
node with the secret opens it, also one that was started a moment ago.
"""

from __future__ import annotations

import hmac
import os
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import sha256

from qh3._hazmat import AeadAes256Gcm, CryptoError

SECRET_BYTES = 32
RETRY_S = 10.0  # a client comes back with its token at once; an old one may be somebody else's
_TICKET = struct.Struct("!HddI")  # cipher suite, valid from, valid until (Unix s), age_add
_RETRY = struct.Struct("!dB")  # made at (Unix s), length of the connection id that it is for


@dataclass(frozen=True)
class Ticket:
    """What a node must know to resume a session (RFC 8446, section 4.6.1)."""

    suite: int
    not_before: float  # Unix s
    not_after: float
    age_add: int
    secret: bytes


def _derived(secret: bytes, label: bytes) -> bytes:
    return hmac.new(secret, label + b"\x01", sha256).digest()


class Keys:
    """The keys of one node. secrets: of 32 bytes, the one in use first. Raises ValueError for any other."""

    def __init__(self, secrets: Sequence[bytes]) -> None:
        if not secrets or any(len(secret) != SECRET_BYTES for secret in secrets):
            raise ValueError(f"a secret has {SECRET_BYTES} bytes")
        self._tickets = [_derived(s, b"cloverhold h3 ticket") for s in secrets]
        self._retries = [_derived(s, b"cloverhold h3 retry") for s in secrets]
        self._reset = _derived(secrets[0], b"cloverhold h3 reset")

    def seal(self, ticket: Ticket) -> bytes:
        """A ticket as its client keeps it."""
        nonce = os.urandom(12)
        head = _TICKET.pack(ticket.suite, ticket.not_before, ticket.not_after, ticket.age_add)
        return nonce + AeadAes256Gcm(self._tickets[0], nonce).encrypt(0, head + ticket.secret, b"")

    def open(self, sealed: bytes) -> Ticket | None:
        """What a client kept; None where it is of no secret that is known here, or was changed."""
        for key in self._tickets:
            try:
                text = AeadAes256Gcm(key, sealed[:12]).decrypt(0, sealed[12:], b"")
            except (CryptoError, ValueError):
                continue
            suite, since, until, age_add = _TICKET.unpack_from(text)
            return Ticket(suite, since, until, age_add, text[_TICKET.size :])
        return None

    def retry_token(self, address: str, asked_cid: bytes, own_cid: bytes, now: float) -> bytes:
        """A token for a Retry packet (RFC 9000, section 8.1.2). now: Unix s."""
        head = _RETRY.pack(now, len(asked_cid)) + asked_cid
        return head + self._retry_mac(self._retries[0], address, head, own_cid)

    def asked_cid(self, token: bytes, address: str, own_cid: bytes, now: float) -> bytes | None:
        """The connection id that a client first asked for; None where its token is not good for it now."""
        if len(token) < _RETRY.size:
            return None
        made, length = _RETRY.unpack_from(token)
        head, mac = token[: _RETRY.size + length], token[_RETRY.size + length :]
        good = [hmac.compare_digest(mac, self._retry_mac(k, address, head, own_cid)) for k in self._retries]
        return head[_RETRY.size :] if any(good) and -1.0 <= now - made <= RETRY_S else None

    @staticmethod
    def _retry_mac(key: bytes, address: str, head: bytes, own_cid: bytes) -> bytes:
        return hmac.new(key, b"\x00".join((address.encode(), own_cid.hex().encode(), head)), sha256).digest()[:16]

    def reset_token(self, cid: bytes) -> bytes:
        """The stateless reset token of a connection id, by the secret in use (RFC 9000, section 10.3.2)."""
        return hmac.new(self._reset, cid, sha256).digest()[:16]
