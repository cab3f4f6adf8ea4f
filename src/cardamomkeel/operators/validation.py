"""Checks of what operators' calls carry."""

import typing

import pydantic
from returns import result

from cardamomkeel import errors
from cardamomkeel.operators import app as app_lib


def validate(
    model: type[pydantic.BaseModel], body: app_lib.Body
) -> result.Result[typing.Any, errors.Error]:
    """Returns the body as a model, or the first thing wrong with it."""
    try:
        return result.Success(model.model_validate(body))
    except pydantic.ValidationError as exc:
        return result.Failure(
            errors.SettingsError(
                f"wrong call: {exc.errors()[0]['loc']}: "
                f"{exc.errors()[0]['msg']}",
                "use the `cardamomkeel` command of the same version",
            )
        )
