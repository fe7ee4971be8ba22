"""Structured logs: one JSON object on a line for each event."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs", "logger"]

logger = logging.getLogger("flamingolift")


def configure_logs(level, instance_id):
    """Sends the log to standard error as JSON lines.

    Args:
        level: Lowest level: "debug", "info", "warning" or "error".
        instance_id: Instance name, a field of each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"instance": instance_id},
        )
    )
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    for name in ("uvicorn", "uvicorn.error", "uvicorn.access", "asyncio"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
