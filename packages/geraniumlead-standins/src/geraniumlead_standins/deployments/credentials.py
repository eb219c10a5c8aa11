"""The credentials of example contracts."""

from hashlib import sha256


def example_credential(customer: str) -> str:
    """Return the token of an example customer; a real token has to be random."""
    return f"example-token-of-{customer}"


def credential_digest(credential: str) -> str:
    """Return the digest that a contract lists."""
    return sha256(credential.encode()).hexdigest()
