"""Settings of a stand-in, loaded from a JSON file with comments and validated."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import pyjson5
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from carobspool_standins.errors import SettingsError


class Settings(BaseModel):
    """Base of validated settings: unknown keys are rejected, instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServerSettings(Settings):
    """Base of a stand-in's settings: the address on which it listens.

    Attributes:
        port: TCP port; 0 lets the operating system choose one.
        address: IP address.
    """

    port: int = Field(ge=0, le=65535)
    address: str = "127.0.0.1"


SettingsT = TypeVar("SettingsT", bound=BaseModel)


def load_settings(path: Path, model: type[SettingsT]) -> SettingsT:
    """Load and validate a settings file.

    Args:
        path: JSON file with comments.
        model: Model to validate against.

    Raises:
        SettingsError: If the file can't be read, parsed or validated.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"cannot read {path.name}: {error.strerror}") from error
    try:
        return model.model_validate(pyjson5.decode(text))
    except pyjson5.Json5Exception as error:
        raise SettingsError(f"{path.name} is not JSON with comments: {error}") from error
    except ValidationError as error:
        raise SettingsError(f"{path.name} is not valid: {error}") from error
