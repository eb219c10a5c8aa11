"""Make the tokens of example contracts."""

from hashlib import sha256


def example_credential(customer: str) -> str:
    """Return the token of an example's customer; a real one has to be random."""
    return f"example-token-of-{customer}"


def credential_digest(credential: str) -> str:
    """Return the digest that a contract lists."""
    return sha256(credential.encode()).hexdigest()
