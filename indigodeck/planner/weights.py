"""A table's weights as whole numbers, the same for every protocol."""

MOST = 0xFFFF


def scaled(lines):
    """A table's weights as 16 bits: a power of two times each, so that one change leaves the others as they
    were told; none that is listed comes to 0. {server: float} to {server: 1 to 65535}
    """
    most, factor = max(lines.values(), default=0.0), 1.0
    while 0 < most * factor * 2 <= MOST:
        factor *= 2
    while most * factor > MOST:
        factor /= 2
    return {server: max(1, round(weight * factor)) for server, weight in lines.items()}
