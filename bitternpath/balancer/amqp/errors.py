"""Reply codes of AMQP 0-9-1 (specification, 1.4 'Constants'), and exceptions that carry them."""

from __future__ import annotations

CONTENT_TOO_LARGE = 311
NO_ROUTE = 312
CONNECTION_FORCED = 320
ACCESS_REFUSED = 403
NOT_FOUND = 404
RESOURCE_LOCKED = 405
PRECONDITION_FAILED = 406
FRAME_ERROR = 501
SYNTAX_ERROR = 502
COMMAND_INVALID = 503
CHANNEL_ERROR = 504
UNEXPECTED_FRAME = 505
RESOURCE_ERROR = 506
NOT_ALLOWED = 530
NOT_IMPLEMENTED = 540

REPLY_CODE_NAMES = {code: name for name, code in list(globals().items()) if isinstance(code, int)}
MAX_REPLY_TEXT = 255  # bytes; reply texts are short strings


class AmqpError(Exception):
    """Protocol error; `method` is the (class id, method id) that failed, or (0, 0)."""

    def __init__(self, code: int, reason: str, method: tuple[int, int] = (0, 0)) -> None:
        super().__init__(reason)
        self.code, self.method = code, method

    @property
    def text(self) -> str:
        """Reply text: the name of the code and the reason, truncated to a short string."""
        text = f"{REPLY_CODE_NAMES[self.code]} - {self}".encode()
        return text[:MAX_REPLY_TEXT].decode(errors="ignore")


class SoftError(AmqpError):
    """Error that closes the channel."""


class HardError(AmqpError):
    """Error that closes the connection."""
