"""Salted slow hashes of passwords: scrypt (RFC 7914), from the standard library's OpenSSL."""

from __future__ import annotations

import hashlib
import hmac
import os

N, R, P = 1 << 14, 8, 1  # 16 MB and about 50 ms on one core
MAX_MEMORY = 64 << 20  # bytes per hash; parameters in a file that need more are rejected
# Verified for unknown users, so that a refused login takes as long as for known ones.
DUMMY_HASH = f"scrypt:{N}:{R}:{P}:{'00' * 16}:{'00' * 32}"


def hash_password(password: bytes) -> str:
    """Return `scrypt:N:r:p:salt:hash`, salt and hash in hex."""
    salt = os.urandom(16)
    derived_key = hashlib.scrypt(password, salt=salt, n=N, r=R, p=P, dklen=32, maxmem=MAX_MEMORY)
    return f"scrypt:{N}:{R}:{P}:{salt.hex()}:{derived_key.hex()}"


def verify_password(password: bytes, stored: str) -> bool:
    """Whether the password matches the hash. Slow by design: call it outside the reactor's thread."""
    _, n, r, p, salt, expected_hex = stored.split(":")
    expected = bytes.fromhex(expected_hex)
    try:
        derived_key = hashlib.scrypt(
            password,
            salt=bytes.fromhex(salt),
            n=int(n),
            r=int(r),
            p=int(p),
            dklen=len(expected),
            maxmem=MAX_MEMORY,
        )
    except ValueError:  # invalid scrypt parameters never match
        return False
    return hmac.compare_digest(derived_key, expected)
