"""Leader election among the controllers of one fleet: leases, takeover and membership."""
