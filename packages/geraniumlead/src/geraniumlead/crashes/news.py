from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class News:
    """A request of which peers should be told; ``is_own`` is set if no peer has told it here."""

    fingerprint: int
    is_own: bool


@dataclass(frozen=True, slots=True)
class NewsRound:
    """The peers that are told of some requests in one round."""

    peer_ids: tuple[str, ...]
    fingerprints: tuple[int, ...]
