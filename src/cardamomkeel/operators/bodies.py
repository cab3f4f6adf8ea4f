"""Validates the bodies of operators' calls."""

import typing

import pydantic
from returns import result

from cardamomkeel import errors

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


def validate(
    model: type[Model], body: dict[str, typing.Any]
) -> result.Result[Model, errors.Error]:
    """Returns a body as a model, or the first field that is wrong."""
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
