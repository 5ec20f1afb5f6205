"""Answers that are received over libcurl."""

from carobspool_node.answers._bounded_answer import MAX_ANSWER_BYTES, BoundedAnswer

__all__ = ["MAX_ANSWER_BYTES", "BoundedAnswer"]
