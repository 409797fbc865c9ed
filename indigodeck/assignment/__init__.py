"""The decisions: which servers serve which class of requests. No I/O, standard library only."""
