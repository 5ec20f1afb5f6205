"""Types of single settings, and how a setting is declared."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import Field
from pydantic.config import JsonDict

HIGHEST_PORT = 65_535

NodeName = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Url = Annotated[str, Field(pattern=r"^https?://[^\s/?#]+(/[^\s?#]*)?$")]
IpAddress = Annotated[
    str, Field(pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]*)$")
]
KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
LogLevel = Literal["debug", "info", "warning", "error"]


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
