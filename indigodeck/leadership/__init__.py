"""Several controllers for one fleet: which leads a relay group, and how another takes over."""
