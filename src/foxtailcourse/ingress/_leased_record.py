"""Records in the platform's store that end by themselves."""

from collections.abc import Callable

from foxtailcourse.platform import (
    KeyValueStore,
    PlatformError,
    Put,
    StoreRestoredError,
)

# Longest time in which a lease is granted; it runs from an unknown moment of it.
MAX_GRANT_S = 1.0


async def write_leased_record(
    store: KeyValueStore,
    key: str,
    value: bytes,
    ttl_s: float,
    clock: Callable[[], float],
) -> None:
    """Write a key that is removed after ``ttl_s``.

    The lease runs from when the store receives the call, which may be long after it
    was sent. A key that a restored store has from its copy is replaced.

    Raises
    ------
    PlatformError
        If the key may not have been written.
    """
    sent_at = clock()
    lease, era = await store.lease_grant(ttl_s), store.era
    if clock() - sent_at > MAX_GRANT_S:
        await store.lease_revoke(lease)
        raise PlatformError("the lease took too long", may_have_applied=False)
    written = await store.txn({}, [Put(key=key, value=value, lease=lease)])
    if written.era != era:
        # The restored store may have assigned the lease to another holder.
        await store.txn({}, delete=[key])
        raise StoreRestoredError(
            f"the store went from era {era} to {written.era}",
            may_have_applied=False,
        )
