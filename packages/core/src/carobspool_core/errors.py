"""Base class of the errors of ``carobspool_core``."""

from __future__ import annotations


class CoreError(Exception):
    """Base of all errors that ``carobspool_core`` raises."""
