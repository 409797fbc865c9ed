"""Chance that is the same everywhere: a small generator, and seeds from names and ids."""


class SeededRandom:
    """A linear congruential generator; its low bits have short periods, so the high ones are used."""

    def __init__(self, seed):
        self.state = seed & (1 << 64) - 1

    def below(self, bound):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 32) * bound >> 32


def seed_from(name, raws):
    """The same for every instance and every start: Python's own hash differs between processes."""
    mixed = 14695981039346656037
    for byte in name.encode() + b"".join(raws):
        mixed = ((mixed ^ byte) * 1099511628211) & (1 << 64) - 1
    return mixed
