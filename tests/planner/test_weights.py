"""Table weights as whole numbers (`planner.weights`)."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as some

from indigodeck.planner.weights import scale_weights


class ScaledWeightsTest(unittest.TestCase):
    """Weights of 16 bits."""

    @settings(max_examples=200, deadline=None)
    @given(some.dictionaries(some.integers(0, 30), some.floats(1e-4, 1e4), min_size=1))
    def test_weights_of_16_bits_keep_proportions_and_lose_nobody(self, weights):
        """Shares stay within a hundredth, and no server comes to 0."""
        told = scale_weights(weights)
        total = sum(weights.values())
        self.assertTrue(all(0 < weight <= 65535 for weight in told.values()))
        for key, weight in weights.items():
            self.assertAlmostEqual(told[key] / sum(told.values()), weight / total, delta=0.01)
