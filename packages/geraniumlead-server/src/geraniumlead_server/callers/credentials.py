"""Authenticate callers by their bearer token."""

from hashlib import sha256

import falcon

from geraniumlead_server.driver import InstanceDriver

AUTH_SCHEME = "Bearer "


def authenticate_customer(driver: InstanceDriver, request: falcon.Request) -> str:
    """Return the customer whose contract lists the bearer token's digest.

    Raise ``HTTPUnauthorized`` if there is none.
    """
    header = request.get_header("Authorization") or ""
    digest = sha256(header.removeprefix(AUTH_SCHEME).encode()).hexdigest()
    customer = driver.instance.parts.store.view.customer_of_credential.get(digest)
    if customer is None or not header.startswith(AUTH_SCHEME):
        # The response is the same for every cause, so that it does not help to guess tokens.
        raise falcon.HTTPUnauthorized(title="unauthorized", challenges=["Bearer"])
    return customer
