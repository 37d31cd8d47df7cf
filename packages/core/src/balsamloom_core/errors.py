"""Base class of the exceptions that balsamloom raises."""

from __future__ import annotations

from typing import Any

from balsamloom_core import results


class BalsamloomError(Exception):
    """An error with a numbered result code.

    :param code: result code returned to callers.
    :param message: one sentence for users; the code's meaning by default.
    :param retry_after_ms: time to wait before a retry, if known.
    """

    def __init__(
        self,
        code: results.ResultCode,
        message: str = "",
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message or results.info(code).meaning)
        self.code = code
        self.retry_after_ms = retry_after_ms

    @property
    def message(self) -> str:
        """Return the message for users."""
        return str(self.args[0])

    def document(self) -> dict[str, Any]:
        """Return the JSON form for callers."""
        return {
            "error": {
                "code": int(self.code),
                "name": self.code.name.lower(),
                "message": self.message,
                "not_run": results.info(self.code).not_run,
                "retry_after_ms": self.retry_after_ms,
            }
        }
