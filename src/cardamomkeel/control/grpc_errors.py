"""The errors by which grpclib reports a failed call or a malformed message."""

from google.protobuf import message
from grpclib import exceptions as grpc_exceptions


class OversizedMessageError(Exception):
    """A message is longer than its receiver accepts."""


# grpclib reports a message that was cut off by an AssertionError, and one that
# is compressed by a NotImplementedError.
MALFORMED_MESSAGE = (
    message.DecodeError,
    AssertionError,
    NotImplementedError,
    OversizedMessageError,
)
CALL_FAILED = (
    OSError,
    TimeoutError,
    grpc_exceptions.GRPCError,
    grpc_exceptions.ProtocolError,
    grpc_exceptions.StreamTerminatedError,
)


def describe(exc: BaseException) -> str:
    """Returns the kind of an error and its message."""
    return f"{type(exc).__name__}: {exc}"
