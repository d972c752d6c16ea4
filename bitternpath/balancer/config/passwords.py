"""Salted slow hashes of passwords: scrypt (RFC 7914), from the standard library's OpenSSL."""

from __future__ import annotations

import hashlib
import hmac
import os

N, R, P = 1 << 14, 8, 1  # 16 MB and about 50 ms on one core
MEMORY = 64 << 20  # bytes that a hash may take; what a file says beyond that fails
# Checked where the user is unknown, so that the answer takes as long.
NOBODY = f"scrypt:{N}:{R}:{P}:{'00' * 16}:{'00' * 32}"


def hashed(password: bytes) -> str:
    """`scrypt:N:r:p:salt:hash`, the last two in hex."""
    salt = os.urandom(16)
    made = hashlib.scrypt(password, salt=salt, n=N, r=R, p=P, dklen=32, maxmem=MEMORY)
    return f"scrypt:{N}:{R}:{P}:{salt.hex()}:{made.hex()}"


def matches(password: bytes, stored: str) -> bool:
    """Whether the password has that hash; slow on purpose, so keep it off the reactor's thread."""
    _, n, r, p, salt, want = stored.split(":")
    wanted = bytes.fromhex(want)
    try:
        made = hashlib.scrypt(
            password, salt=bytes.fromhex(salt), n=int(n), r=int(r), p=int(p), dklen=len(wanted), maxmem=MEMORY
        )
    except ValueError:  # figures that no scrypt takes: nobody gets in by them
        return False
    return hmac.compare_digest(made, wanted)
