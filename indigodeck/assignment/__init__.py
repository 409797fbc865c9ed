"""The assignment logic: which servers serve which class. No I/O, standard library only."""
