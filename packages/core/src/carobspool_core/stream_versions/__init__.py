"""Decisions about the software version at which a stream that its caller takes up goes on.

What servers of two software versions write does not fit together, and servers do not check it. The
entry at which a stream began knows the version, and may be gone when the caller takes the stream up
at another entry.

This package decides only: it uses no network, no threads and no clock; callers pass in the time.
"""

from carobspool_core.stream_versions._history import (
    MEMORY_PER_WINDOW,
    ServiceVersion,
    VersionHistory,
    VersionsView,
    stream_window,
    window_of_deadline,
)
from carobspool_core.stream_versions._holders import holders_of, peers_to_ask
from carobspool_core.stream_versions._origins import (
    KnownBy,
    KnownOrigin,
    OriginAnswer,
    OriginTable,
    StreamOrigin,
    decide_origin,
)
from carobspool_core.stream_versions._records import (
    WRITE_INTERVAL,
    OpenStreams,
    VersionsRecord,
    write_interval,
)

__all__ = [
    "MEMORY_PER_WINDOW",
    "WRITE_INTERVAL",
    "KnownBy",
    "KnownOrigin",
    "OpenStreams",
    "OriginAnswer",
    "OriginTable",
    "ServiceVersion",
    "StreamOrigin",
    "VersionHistory",
    "VersionsRecord",
    "VersionsView",
    "decide_origin",
    "holders_of",
    "peers_to_ask",
    "stream_window",
    "window_of_deadline",
    "write_interval",
]
