"""Who calls: bearer keys against the hashes in the configuration."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core import Caller, CallerRole, DesiredState, Failure, Organisation, Outcome
from carobspool_core.organisations import key_digest, read_bearer

_BOOTSTRAP = "first-operator"


@dataclass(frozen=True, slots=True, kw_only=True)
class Identified:
    """A caller with its organisation."""

    caller: Caller
    organisation: Organisation


class CallerKeys:
    """Finds callers by their keys. Since 0.1.

    Args:
        first_operator_key_hash: SHA-256 (hex) of the key that may apply the first configuration;
            it is good for nothing once a configuration is in force.
    """

    def __init__(self, first_operator_key_hash: str | None) -> None:
        self._first = first_operator_key_hash
        self._found: dict[str, Identified] = {}
        self._revision = 0

    def replace(self, state: DesiredState) -> None:
        """Take the callers of another configuration."""
        found: dict[str, Identified] = {}
        for caller in state.callers.values():
            organisation = state.organisations.get(caller.organisation)
            if organisation is None:
                continue
            for key_hash in caller.key_hashes:
                found[key_hash] = Identified(caller=caller, organisation=organisation)
        self._found = found
        self._revision = state.revision

    def identify(self, authorization: str | None) -> Result[Identified, Failure]:
        """Return who sent a request with this ``Authorization`` header."""
        key = read_bearer(authorization or "")
        if key is None:
            return Failed(_unauthorized("missing_key", "send the key as 'Authorization: Bearer …'"))
        key_hash = key_digest(key).hex()
        found = self._found.get(key_hash)
        if found is not None:
            return Success(found)
        if self._revision == 0 and self._first is not None and key_hash == self._first:
            return Success(_first_operator(key_hash))
        return Failed(_unauthorized("invalid_api_key", "the key is not known"))

    def operator(self, authorization: str | None) -> Result[Identified, Failure]:
        """Return the operator who sent a request; a caller's key is refused."""
        found = self.identify(authorization)
        if isinstance(found, Success) and found.unwrap().caller.role is not CallerRole.OPERATOR:
            return Failed(
                Failure(
                    status=int(HTTPStatus.FORBIDDEN),
                    type="permission_error",
                    code="operator_only",
                    message="this needs a key with the role operator",
                    outcome=Outcome.NOT_RUN,
                )
            )
        return found


def _first_operator(key_hash: str) -> Identified:
    caller = Caller(
        id=_BOOTSTRAP,
        organisation=_BOOTSTRAP,
        key_hashes=(key_hash,),
        role=CallerRole.OPERATOR,
    )
    return Identified(caller=caller, organisation=Organisation(name=_BOOTSTRAP))


def _unauthorized(code: str, message: str) -> Failure:
    return Failure(
        status=int(HTTPStatus.UNAUTHORIZED),
        type="authentication_error",
        code=code,
        message=message,
        outcome=Outcome.NOT_RUN,
    )
