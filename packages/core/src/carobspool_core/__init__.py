"""Data classes, ports and decisions of carobspool: no network, no threads.

The public names are listed in ``__init__.pyi``. Each name is imported on first use: a process that
restarts after a crash needs few of them and can serve no requests while it imports the rest.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
