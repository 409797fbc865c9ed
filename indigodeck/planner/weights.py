"""Integer weights for the protocols of all frontends."""

from collections.abc import Mapping

MAX_WEIGHT = 0xFFFF


def scale_weights(weights: Mapping[int, float]) -> dict[int, int]:
    """Return integer weights from 1 to 65535 by server.

    All weights are multiplied by the same power of two, so that a change of one server usually
    leaves the integer weights of the others unchanged. No listed server gets weight 0.
    """
    largest = max(weights.values(), default=0.0)
    factor = 1.0
    while 0 < largest * factor * 2 <= MAX_WEIGHT:
        factor *= 2
    while largest * factor > MAX_WEIGHT:
        factor /= 2
    return {server: max(1, round(weight * factor)) for server, weight in weights.items()}
