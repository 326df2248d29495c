"""Binding of a caller's own idempotency key to an issued one."""

import hashlib

import msgspec

from foxtailcourse.http import HttpError
from foxtailcourse.platform import KeyValueStore, PlatformError, Put

CLAIMS = "claims/"
ABSENT = 0  # mod_revision of a key that does not exist
MAX_TRIES = 3
RETRY_AFTER_MS = 2000


class _Claim(msgspec.Struct):
    key: str
    route: str


class Claims:
    """Claims in the platform's key-value service, created once and never changed.

    Parameters
    ----------
    key_value : KeyValueStore
        The service.
    """

    def __init__(self, key_value: KeyValueStore) -> None:
        self._key_value = key_value

    async def bind(self, account: str, own_key: str, route: str, issued: str) -> str:
        """Return the issued key that the caller's own key stands for.

        Parameters
        ----------
        account : str
            The client account.
        own_key : str
            The caller's key.
        route : str
            The service route; a key can't be used on two routes.
        issued : str
            A fresh issued key, used if no claim exists yet.

        Raises
        ------
        HttpError
            503 ``not-run`` if the claim could not be settled, 409 ``not-run`` if the
            key was used on another route.
        """
        digest = hashlib.sha256(own_key.encode("utf-8")).hexdigest()
        name = f"{CLAIMS}{account}/{digest}"
        value = msgspec.json.encode(_Claim(issued, route))
        for _ in range(MAX_TRIES):
            held = await self._create(name, value)
            if held is not None:
                return _read(held, route)
        raise _unsettled("the platform did not confirm the claim")

    async def _create(self, name: str, value: bytes) -> bytes | None:
        """Return the value in force, or None if it is not known.

        A create whose answer was lost may take effect later, so only a value that
        was read counts; the create is repeated until one is.
        """
        try:
            result = await self._key_value.txn(
                {name: ABSENT}, [Put(key=name, value=value)]
            )
            if result.succeeded:
                return value
            current = {each.key: each.value for each in result.current}
            return current.get(name)
        except PlatformError as exc:
            if not exc.may_have_applied:
                raise _unsettled(str(exc)) from exc
        try:
            found = await self._key_value.range(name)
        except PlatformError as exc:
            raise _unsettled(str(exc)) from exc
        return next((each.value for each in found.items if each.key == name), None)


def _read(value: bytes, route: str) -> str:
    try:
        claim = msgspec.json.decode(value, type=_Claim)
    except msgspec.DecodeError as exc:
        raise _unsettled("the claim is malformed") from exc
    if claim.route != route:
        message = f"the key was used on route {claim.route!r}"
        raise HttpError(409, "key_reused", message)
    return claim.key


def _unsettled(reason: str) -> HttpError:
    message = f"this submission did not run: the key could not be claimed: {reason}"
    return HttpError(503, "claims_unavailable", message, retry_after_ms=RETRY_AFTER_MS)
