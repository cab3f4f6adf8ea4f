"""Datagrams between the entries about the limits of accounts."""

import typing

import msgspec

# The first byte of each datagram, before its JSON.
MARK = b"q"

_Count = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
_Ms = typing.Annotated[float, msgspec.Meta(ge=0)]


class Ask(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """Asks a keeper for some requests of an account.

    Attributes:
        sender: The name of the entry that asks.
        number: Names the ask; a repeat has the same one.
        fingerprint: Of the list of entries that the sender knows.
        account: The name of the account.
        count: The number of requests.
        as_stand_in: Whether the keeper did not answer.
    """

    sender: str
    number: _Count
    fingerprint: str
    account: str
    count: _Count
    as_stand_in: bool


class Answer(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """Answers an ask.

    Attributes:
        sender: The name of the keeper.
        number: The number of the ask.
        fingerprint: Of the list of entries that the sender knows.
        account: The name of the account.
        granted: How many requests are granted; -1 if the sender can't tell.
        next_ms: How long until another one may be granted.
        return_ms: When the refused requests may return.
    """

    sender: str
    number: _Count
    fingerprint: str
    account: str
    granted: int
    next_ms: _Ms
    return_ms: _Ms


class GiveBack(msgspec.Struct, array_like=True, frozen=True, tag="b"):
    """Gives back granted requests, or what a former keeper had left.

    Attributes:
        sender: The name of the entry.
        account: The name of the account.
        count: The number of requests.
    """

    sender: str
    account: str
    count: _Ms


Message = Ask | Answer | GiveBack
_DECODER = msgspec.json.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a datagram."""
    return MARK + msgspec.json.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message of a datagram.

    Raises:
        ValueError: It is malformed.
    """
    return _DECODER.decode(data[len(MARK) :])
