"""The processes of carobspool: entry and sidecar, and direct entries.

Each sub-package is a room: its docstring says what belongs there, its ``__all__`` is what the
others use. From below: `settings`, `roles`, `store`, `requests`, `links`, `upstreams`,
`configuration`, `jobs`, `callers`, `process`; a room imports only rooms before it. `direct` stands
beside them and shares `settings` and `errors`. ``tests/test_import_rules.py`` checks it.
"""
