"""Integer weights of tables (`planner.weights`)."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as some

from indigodeck.planner.weights import scale_weights


class ScaleWeightsTest(unittest.TestCase):
    """Weights of 16 bits."""

    @settings(max_examples=200, deadline=None)
    @given(some.dictionaries(some.integers(0, 30), some.floats(1e-4, 1e4), min_size=1))
    def test_integer_weights_keep_proportions_and_all_servers(self, weights):
        """Shares stay within a hundredth, and no server gets weight 0."""
        scaled = scale_weights(weights)
        total = sum(weights.values())
        self.assertTrue(all(0 < weight <= 65535 for weight in scaled.values()))
        for key, weight in weights.items():
            self.assertAlmostEqual(scaled[key] / sum(scaled.values()), weight / total, delta=0.01)
