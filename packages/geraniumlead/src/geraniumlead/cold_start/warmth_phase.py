"""Name what an owner knows of an upstream's cold start."""

from enum import StrEnum


class WarmthPhase(StrEnum):
    """Say whether an upstream was shown warm, and how lately.

    UNPROVEN was never used or not for long, COLD showed a sign of cold start, WARMING
    answered warm and is given more from answer to answer, WARM takes its full share.
    """

    UNPROVEN = "unproven"
    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
