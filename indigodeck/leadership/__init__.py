"""Several controllers for one fleet: who is in charge of which ward of relays, and how another takes over."""
