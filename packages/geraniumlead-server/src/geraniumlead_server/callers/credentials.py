"""Tie a caller to its contract."""

from hashlib import sha256

import falcon

from geraniumlead_server.driver import InstanceDriver

SCHEME = "Bearer "


def find_customer(driver: InstanceDriver, request: falcon.Request) -> str:
    """Return the customer whose contract lists the bearer token's digest; raises 401."""
    header = request.get_header("Authorization") or ""
    digest = sha256(header.removeprefix(SCHEME).encode()).hexdigest()
    customer = driver.instance.parts.store.view.customer_of_credential.get(digest)
    if customer is None or not header.startswith(SCHEME):
        # One answer for every cause: it must not tell a guesser how close the guess was.
        raise falcon.HTTPUnauthorized(title="unauthorized", challenges=["Bearer"])
    return customer
