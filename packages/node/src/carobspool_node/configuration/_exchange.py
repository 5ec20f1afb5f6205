"""Passing the configuration from process to process.

A process that takes a revision tells its peers the changes alone. On connecting, and by a peer that
cannot use the changes, the revision is told with the digests of its parts; who lacks some says so
by announcing its own, and gets just the parts that it lacks. So a change reaches every process also
while the store is down, and costs what it changed.
"""

from __future__ import annotations

from collections.abc import Callable

from carobspool_core import Configuration
from carobspool_node.configuration._follower import ConfigurationFollower
from carobspool_node.links import Link, send_quietly


def announcement(follower: ConfigurationFollower) -> Configuration:
    """Return the message that tells which revision and parts this process has."""
    return follower.message_for(follower.digests)


def news(follower: ConfigurationFollower) -> Configuration:
    """Return the message that tells peers of a revision just taken."""
    return follower.news()


def exchange(follower: ConfigurationFollower, message: Configuration, link: Link) -> bool:
    """Take or answer a peer's message.

    Returns:
        Whether a newer revision was taken and should be announced to the other peers.
    """
    if message.revision > follower.revision:
        if follower.offer(message):
            return True
        if follower.lacking(message):
            send_quietly(link, announcement(follower))
        return False
    if message.revision < follower.revision:
        send_quietly(link, follower.message_for(message.parts.values()))
    return False


def answer_sidecar(
    follower: ConfigurationFollower,
    message: Configuration,
    send: Callable[[Configuration], None],
) -> None:
    """Take or answer a sidecar's message; it may have heard of a revision from another entry."""
    if message.revision < follower.revision:
        send(follower.message_for(message.parts.values()))
        return
    if message.revision > follower.revision and not follower.offer(message):
        send(announcement(follower))
