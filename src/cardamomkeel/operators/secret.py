"""The secret that authorizes operators' calls."""

import hmac
import pathlib

from returns import result

from cardamomkeel import errors

# 64 bits if the secret is written in hexadecimal.
MIN_SECRET_CHARS = 16


def read_secret(path: pathlib.Path) -> result.Result[str, errors.Error]:
    """Reads the secret from its file."""
    try:
        secret = path.read_text(encoding="utf-8").strip()
    except OSError as exc:
        return result.Failure(
            errors.SettingsError(
                f"the secret can't be read: {exc}",
                "name a readable file as secret_file",
            )
        )
    if len(secret) < MIN_SECRET_CHARS:
        return result.Failure(
            errors.SettingsError(
                f"the secret in {path} is too short",
                f"write at least {MIN_SECRET_CHARS} random characters to it",
            )
        )
    return result.Success(secret)


def is_allowed(authorization: bytes, secret: str) -> bool:
    """Returns whether an Authorization header contains the secret."""
    return hmac.compare_digest(authorization, b"Bearer " + secret.encode())
