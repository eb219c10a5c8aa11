"""Tie a caller to its contract."""

from hashlib import sha256

import falcon

from geraniumlead_server.driver import InstanceDriver

SCHEME = "Bearer "


def find_customer(driver: InstanceDriver, request: falcon.Request) -> str:
    """Return the customer whose contract lists the bearer token's digest; raises 401."""
    header = request.get_header("Authorization") or ""
    if not header.startswith(SCHEME):
        raise falcon.HTTPUnauthorized(title="a bearer token is needed")
    digest = sha256(header[len(SCHEME) :].encode()).hexdigest()
    customer = driver.instance.parts.store.view.customer_of_credential.get(digest)
    if customer is None:
        raise falcon.HTTPUnauthorized(title="no contract lists this token")
    return customer
