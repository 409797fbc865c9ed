"""An embedded key-value store whose values survive restarts and power loss (docs/store.md).

A planner uses `StoreWriter`: a thread that owns a `WriteAheadLog`, which keeps its data in the
files of a `StoreFolder`. The log consists of record framing (`framing`), the names and headers of
its files (`segments`), the in-memory index of records (`index`), `recovery` and `compaction`.
"""
