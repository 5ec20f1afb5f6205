"""Data classes, ports and decisions of carobspool: no network, no threads.

What is public stands in ``__init__.pyi``. A name is imported when it is first used: a process that
starts again after a crash needs few of them, and serves nobody while it imports the rest.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
