"""Errors of the stand-ins."""

from __future__ import annotations


class StandinError(Exception):
    """Base of all errors that ``carobspool_standins`` raises."""


class SettingsError(StandinError):
    """A settings file can't be read or holds invalid values."""


class CutConnection(StandinError):
    """Raised by a view, or while its answer is sent, to close the connection with a reset."""


class ClientGone(StandinError):
    """The client closed its connection before the answer was complete."""


class LoadFailure(StandinError):
    """The weight store did not deliver a model's weights."""


class ClusterError(StandinError):
    """A process of a cluster did not start, answer or end as asked."""


class ExperimentError(StandinError):
    """An experiment can't be run as it is described."""
