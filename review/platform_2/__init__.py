"""Stand-ins for the review's second part: the platform round one planner, in one process."""
