"""Random numbers that are the same on every machine: a small generator, and seeds from names."""

from collections.abc import Iterable

MASK = (1 << 64) - 1
LCG_MULTIPLIER = 6364136223846793005  # Knuth's MMIX generator
LCG_INCREMENT = 1442695040888963407
FNV_OFFSET_BASIS = 14695981039346656037  # 64-bit FNV-1a
FNV_PRIME = 1099511628211


class SeededRandom:
    """A linear congruential generator; only its high bits are used, the low ones repeat soon."""

    def __init__(self, seed: int) -> None:
        self.state = seed & MASK

    def randbelow(self, bound: int) -> int:
        """Return a number from 0 to `bound` - 1."""
        self.state = (self.state * LCG_MULTIPLIER + LCG_INCREMENT) & MASK
        return (self.state >> 32) * bound >> 32


def seed_from(name: str, ids: Iterable[bytes]) -> int:
    """Return a seed, the same on every planner and after every start, as Python's hash is not."""
    mixed = FNV_OFFSET_BASIS
    for byte in name.encode() + b"".join(ids):
        mixed = ((mixed ^ byte) * FNV_PRIME) & MASK
    return mixed
