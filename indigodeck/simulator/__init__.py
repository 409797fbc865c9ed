"""The assigner's host on the simulator's wire: batches of events in, batches of actions out."""
