"""What single settings may be."""

from typing import Literal

HIGHEST_PORT = 65_535

NODE_NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
URL = r"^https?://[^\s/?#]+(/[^\s?#]*)?$"
IP_ADDRESS = r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]*)$"
KEY_HASH = r"^[0-9a-f]{64}$"

LogLevel = Literal["debug", "info", "warning", "error"]
