"""Random numbers that are identical on every machine: a small generator, and seeds from names."""

from collections.abc import Iterable

UINT64_MASK = (1 << 64) - 1
LCG_MULTIPLIER = 6364136223846793005  # Knuth's MMIX generator
LCG_INCREMENT = 1442695040888963407
FNV_OFFSET_BASIS = 14695981039346656037  # 64-bit FNV-1a
FNV_PRIME = 1099511628211


class SeededRandom:
    """A linear congruential generator; only the high bits are used, as the low ones cycle early."""

    def __init__(self, seed: int) -> None:
        self.state = seed & UINT64_MASK

    def randbelow(self, bound: int) -> int:
        """Return a random number from 0 to `bound` - 1."""
        self.state = (self.state * LCG_MULTIPLIER + LCG_INCREMENT) & UINT64_MASK
        return (self.state >> 32) * bound >> 32


def seed_from(name: str, ids: Iterable[bytes]) -> int:
    """Return a seed that is the same in every process, unlike Python's `hash`."""
    hash_value = FNV_OFFSET_BASIS
    for byte in name.encode() + b"".join(ids):
        hash_value = ((hash_value ^ byte) * FNV_PRIME) & UINT64_MASK
    return hash_value
