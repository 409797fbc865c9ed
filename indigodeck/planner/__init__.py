"""The live planner: hosts the assigner for real relays, whichever protocol they speak."""
