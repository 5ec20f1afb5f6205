"""Errors of the stand-ins."""

from __future__ import annotations


class StandinError(Exception):
    """Base of all errors that ``carobspool_standins`` raises."""


class SettingsError(StandinError):
    """A settings file can't be read or holds invalid values."""


class AbortConnection(StandinError):
    """Raised by a view, or while its response is sent, to reset the connection."""


class ClientDisconnected(StandinError):
    """The client closed its connection before the response was complete."""


class LoadFailure(StandinError):
    """The weight store did not deliver a model's weights."""


class ClusterError(StandinError):
    """A process of a cluster did not start, respond or stop as requested."""


class ExperimentError(StandinError):
    """An experiment's settings describe a run that can't be carried out."""
