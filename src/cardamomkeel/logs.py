"""Writes the log as JSON lines to standard error."""

import sys

import loguru
import orjson

from cardamomkeel import recent_events
from cardamomkeel.log_lines import sink


def format_line(record: "loguru.Record") -> str:
    """Stores the JSON of a record in its extra fields; returns its format."""
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "module": record["name"],
        "message": record["message"],
    }
    line.update(
        (name, value)
        for name, value in record["extra"].items()
        if name != "line"
    )
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    record["extra"]["line"] = orjson.dumps(line, default=str).decode()
    return "{extra[line]}\n"


def set_up(process: str, level: str = "INFO") -> None:
    """Sends the log to standard error and to the recent events.

    Args:
        process: The name of this process, added to every line.
        level: The lowest level that is written to standard error.
    """
    loguru.logger.remove()
    loguru.logger.add(
        sink.Sink(sys.stderr.fileno()).write,
        format=format_line,
        level=level.upper(),
    )
    loguru.logger.add(
        recent_events.RECENT.write, level="INFO", format="{message}"
    )
    loguru.logger.configure(extra={"process_name": process})
