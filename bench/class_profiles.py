"""Request mix and request sizes of each class."""

from typing import NamedTuple

__all__ = ["CLASS_PROFILES", "ClassProfile"]


class ClassProfile(NamedTuple):
    """Distribution of the requests of one class.

    `share` is the fraction of the service's capacity that the class takes at a load of 0.7.
    `work` is the mean number of output tokens, or the service time in seconds of a plain service.
    `sigma` is the standard deviation of the logarithm of the length, 0 for a fixed length.
    `prompt_tokens` is the mean length of the unshared part of the prompt; `shared_blocks` is the
    number of leading prompt blocks that all requests of a customer share.
    """

    share: float
    work: float
    sigma: float = 0.0
    prompt_tokens: int = 0
    shared_blocks: int = 0


# Protected classes take 0.15 of the capacity of their service at every load, because an overload
# consists of bursts of lower tiers.
CLASS_PROFILES: dict[str, dict[str, ClassProfile]] = {
    "sprachdienst": {
        "feast-assessment": ClassProfile(0.35, 140.0, 0.8, 250, 3),
        "assessment": ClassProfile(0.35, 220.0, 1.0, 350, 3),
    },
    "auftragsdienst": {
        "forging-order": ClassProfile(0.15, 0.25),
        "invoice": ClassProfile(0.25, 0.25),
        "order-status": ClassProfile(0.30, 0.20),
    },
    "drafting-desk": {
        "question": ClassProfile(0.25, 100.0, 0.8, 200, 3),
        "council-summary": ClassProfile(0.20, 180.0, 0.7, 500, 2),
        "fire-risk-draft": ClassProfile(0.25, 320.0, 1.0, 350, 3),
    },
    "permit-register": {
        "status-check": ClassProfile(0.15, 0.10),
        "permit-issue": ClassProfile(0.25, 0.25),
        "register-export": ClassProfile(0.30, 1.00),
    },
}
