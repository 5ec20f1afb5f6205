"""Types of single settings, and how a setting is declared."""

from __future__ import annotations

from typing import Annotated, Any

from pydantic import Field
from pydantic.config import JsonDict

from carobspool_node.settings import IP_ADDRESS, KEY_HASH, NODE_NAME, URL

NodeName = Annotated[str, Field(pattern=NODE_NAME)]
Url = Annotated[str, Field(pattern=URL)]
IpAddress = Annotated[str, Field(pattern=IP_ADDRESS)]
KeyHash = Annotated[str, Field(pattern=KEY_HASH)]


def setting(description: str, *, unit: str, default: Any = ..., **bounds: Any) -> Any:
    """Return the declaration of one setting.

    Args:
        description: What it decides, for the reference page.
        unit: Unit or kind of the value.
        default: Value when it is left out; required without one.
        bounds: Bounds in pydantic's words.
    """
    extra: JsonDict = {"unit": unit}
    return Field(default, description=description, json_schema_extra=extra, **bounds)
