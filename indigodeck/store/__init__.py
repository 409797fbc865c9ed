"""The embedded store (docs/store.md): values under keys that outlast a restart or a power cut.

`StoreWriter` is what a planner uses: a thread that owns a `WriteAheadLog`, which is kept in the
files of a `StoreFolder`. The log's parts are record framing (`framing`), the names and heads of
its files (`segments`), the index of records in memory (`index`), `recovery` and `compaction`.
"""
