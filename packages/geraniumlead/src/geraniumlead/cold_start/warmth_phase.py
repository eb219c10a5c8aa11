from enum import StrEnum


class WarmthPhase(StrEnum):
    """What an owner has observed of an upstream's cold start.

    UNPROVEN: the upstream was never used, or not for a long time. COLD: it showed a sign of a
    cold start. WARMING: it gave a warm answer, and its limit grows with each round of answers.
    WARM: it gets its full share.
    """

    UNPROVEN = "unproven"
    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
