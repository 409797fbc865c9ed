"""What must outlast a restart: a log in segments, an index, compaction, recovery (docs/store.md)."""
