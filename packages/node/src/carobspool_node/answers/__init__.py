"""Bounds of answers, and how far their requests have come."""

from carobspool_node.answers._answer_memory import MAX_ANSWER_BYTES, AnswerMemory
from carobspool_node.answers._bounded_answer import BoundedAnswer
from carobspool_node.answers._unsent import unacknowledged_bytes

__all__ = ["MAX_ANSWER_BYTES", "AnswerMemory", "BoundedAnswer", "unacknowledged_bytes"]
