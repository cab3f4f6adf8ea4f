"""Decodes the heartbeats of backend servers."""

import typing

import orjson
import pydantic
from returns import result

from cardamomkeel import errors
from cardamomkeel import http_headers
from cardamomkeel.platform import configurations
from cardamomkeel.policy import incarnations
from cardamomkeel.settings import addresses
from cardamomkeel.wire import control_pb2

_STATES = {"ready": incarnations.READY, "draining": incarnations.DRAINING}
_Count = typing.Annotated[int, pydantic.Field(strict=True, ge=0, lt=2**53)]


class _Heartbeat(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        alias_generator=lambda name: name.replace("_", "-"), extra="ignore"
    )

    service: typing.Annotated[str, pydantic.Field(strict=True, min_length=1)]
    address: typing.Annotated[
        str,
        pydantic.Field(strict=True),
        pydantic.AfterValidator(addresses.check_peer),
    ]
    zone: configurations.Text
    slots: typing.Annotated[int, pydantic.Field(strict=True, ge=1, lt=2**31)]
    state: typing.Literal["ready", "draining"]
    seq: _Count
    # Remaining time of the cold start, in which the backend server is slow
    # and handles little load.
    warmup_left_ms: typing.Annotated[
        float, pydantic.Field(strict=True, ge=0, lt=1e9)
    ] = 0.0
    # The version of its software.
    version: configurations.Text = ""
    # Start time in Unix milliseconds, not an age. Distinguishes two starts
    # under one id.
    born: _Count = 0


def parse(
    instance: str, raw: bytes, zones: typing.Collection[str]
) -> result.Result[control_pb2.InstanceRecord, errors.Error]:
    """Parses a heartbeat, or returns why it is invalid.

    Args:
        instance: The id in the path.
        raw: The body.
        zones: The data centres of the deployment; empty if unknown.
    """
    try:
        http_headers.check_id(instance)
        beat = _Heartbeat.model_validate(orjson.loads(raw))
    except (ValueError, RecursionError) as exc:
        return result.Failure(
            errors.AnnouncementError(
                f"the heartbeat of {instance} can't be read: {exc}",
                "see what sends it",
            )
        )
    if zones and beat.zone not in zones:
        return result.Failure(
            errors.AnnouncementError(
                f"the heartbeat of {instance} names {beat.zone}, which is no "
                "data centre of this deployment",
                "see what sends it",
            )
        )
    return result.Success(
        control_pb2.InstanceRecord(
            address=beat.address,
            instance=instance,
            born_ms=beat.born,
            sequence=beat.seq,
            service=beat.service,
            data_centre=beat.zone,
            slots=beat.slots,
            state=_STATES[beat.state],
            cold_ms=int(beat.warmup_left_ms),
            software=beat.version,
        )
    )
