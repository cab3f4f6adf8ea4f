"""Applies the changes of a plan through the operators' interface."""

import dataclasses
import secrets

import anyio.to_thread
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.experiments import plan as plan_lib
from cardamomkeel.experiments import results
from cardamomkeel.operators import client as client_lib

OPERATOR = "cardamomkeel-load"


@dataclasses.dataclass(frozen=True)
class Operator:
    """Calls the operators' interface of the control VMs."""

    addresses: list[str]
    secret: str
    clk: clock.Clock

    async def apply(
        self, change: plan_lib.Change
    ) -> result.Result[results.ChangeFigures, errors.Error]:
        """Sends a change, and waits until it is in force.

        Returns the times until the change was accepted and in force.
        """
        started = self.clk.now()
        path = "/v1/take-out" if change.take_out else "/v1/bring-back"
        body = {
            "data_centre": change.take_out or change.bring_back,
            "change_id": secrets.token_hex(8),
            "operator": OPERATOR,
        }
        done = await self._call(path, body)
        if not isinstance(done, result.Success):
            return done
        accepted_ms = self.clk.now() - started
        waited = await self._call(
            "/v1/wait", {"version": done.unwrap()["version"]}
        )
        in_force_ms = self.clk.now() - started
        return waited.map(
            lambda _: results.ChangeFigures(
                name=change.describe(),
                accepted_ms=round(accepted_ms, 1),
                in_force_ms=round(in_force_ms, 1),
            )
        )

    async def _call(
        self, path: str, body: dict
    ) -> result.Result[dict, errors.Error]:
        return await anyio.to_thread.run_sync(
            client_lib.call, self.addresses, self.secret, path, body
        )
