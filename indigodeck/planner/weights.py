"""A table's weights as whole numbers, the same for every protocol."""

from collections.abc import Mapping

MAX_WEIGHT = 0xFFFF


def scale_weights(weights: Mapping[int, float]) -> dict[int, int]:
    """Return weights of 1 to 65535 by server.

    Each is a power of two times what it was, so that one change leaves the others as they were
    sent; none that is listed comes to 0.
    """
    largest = max(weights.values(), default=0.0)
    factor = 1.0
    while 0 < largest * factor * 2 <= MAX_WEIGHT:
        factor *= 2
    while largest * factor > MAX_WEIGHT:
        factor /= 2
    return {server: max(1, round(weight * factor)) for server, weight in weights.items()}
