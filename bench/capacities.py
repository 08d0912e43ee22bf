"""Capacity of a service: the work it can deliver in a second."""

from bench.class_profiles import CLASS_PROFILES
from bench.engine_profiles import ENGINE_PROFILE
from bench.scenarios import Scenario
from cassiadrum.documents import ServiceDocument

__all__ = ["PLAIN_SLOTS", "best_batch", "capacity_per_endpoint", "count_healthy_endpoints"]

# Calls that one plain endpoint runs at the same time.
PLAIN_SLOTS = 4


def best_batch(document: ServiceDocument) -> int:
    """Return the largest batch within the strictest inter-token target of the classes."""
    if document.kind == "plain":
        return PLAIN_SLOTS
    return ENGINE_PROFILE.best_batch(min(cls.target_inter_token_s for cls in document.classes))


def capacity_per_endpoint(document: ServiceDocument) -> float:
    """Return the work a second of one healthy endpoint at its best batch size.

    A plain endpoint delivers a second of service time a second for each slot. An engine with
    batch `b` decodes `b - f` tokens a step, where `f` is the share of steps that carry a chunk
    of a prompt: a request takes one slot while it is prefilled. Only the part of the prompt that
    no other request has is prefilled, so this is the rate with every shared prefix cached.
    """
    if document.kind == "plain":
        return float(PLAIN_SLOTS)
    batch = best_batch(document)
    chunks_per_token = _chunks_per_token(document.name)
    prefilling = batch * chunks_per_token / (1.0 + chunks_per_token)
    decoding = batch - prefilling
    step_s = ENGINE_PROFILE.step_s(0, False) + ENGINE_PROFILE.stream_step_s * decoding
    return decoding / (step_s + ENGINE_PROFILE.prefill_step_s * prefilling)


def count_healthy_endpoints(document: ServiceDocument, scenario: Scenario) -> int:
    """Return the number of endpoints that count as capacity; a straggler does not."""
    straggles = document.kind == "model" and scenario.straggler != 1.0
    return document.endpoints - straggles


def _chunks_per_token(service: str) -> float:
    """Return the uncached prompt chunks for each output token, in the mix at a load of 0.7."""
    profiles = CLASS_PROFILES[service].values()
    total = sum(profile.share for profile in profiles)
    chunks = sum(
        profile.share / total * profile.prompt_tokens / profile.work for profile in profiles
    )
    return chunks / ENGINE_PROFILE.chunk_tokens
