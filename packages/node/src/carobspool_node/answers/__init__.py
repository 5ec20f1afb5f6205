"""Answers that are received over libcurl, and how far their requests have come."""

from carobspool_node.answers._bounded_answer import MAX_ANSWER_BYTES, BoundedAnswer
from carobspool_node.answers._unsent import unacknowledged_bytes

__all__ = ["MAX_ANSWER_BYTES", "BoundedAnswer", "unacknowledged_bytes"]
