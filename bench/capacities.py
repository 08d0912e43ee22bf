"""Capacity of a service: the work that its endpoints deliver per second."""

from bench.class_profiles import CLASS_PROFILES
from bench.engine_profiles import ENGINE_PROFILE
from bench.scenarios import Scenario
from cassiadrum.documents import ServiceDocument

__all__ = ["PLAIN_SLOTS", "best_batch_size", "capacity_per_endpoint", "count_healthy_endpoints"]

# Concurrent calls of one plain endpoint.
PLAIN_SLOTS = 4


def best_batch_size(document: ServiceDocument) -> int:
    """Return the largest batch size that meets the strictest inter-token target of the classes."""
    if document.kind == "plain":
        return PLAIN_SLOTS
    return ENGINE_PROFILE.best_batch_size(
        min(cls.target_inter_token_s for cls in document.classes)
    )


def capacity_per_endpoint(document: ServiceDocument) -> float:
    """Return the work per second of one healthy endpoint at its best batch size.

    A plain endpoint delivers one second of service time per second and slot. An engine with
    batch size `b` decodes `b - f` tokens per step, where `f` is the fraction of steps that carry
    a prompt chunk: a request occupies one slot during its prefill. Only the part of the prompt
    that no other request shares is prefilled, so this is the rate with every shared prefix
    cached.
    """
    if document.kind == "plain":
        return float(PLAIN_SLOTS)
    batch = best_batch_size(document)
    chunks_per_token = _chunks_per_token(document.name)
    prefilling = batch * chunks_per_token / (1.0 + chunks_per_token)
    decoding = batch - prefilling
    step_s = ENGINE_PROFILE.step_s(0, False) + ENGINE_PROFILE.stream_step_s * decoding
    return decoding / (step_s + ENGINE_PROFILE.prefill_step_s * prefilling)


def count_healthy_endpoints(document: ServiceDocument, scenario: Scenario) -> int:
    """Return the number of endpoints that count as capacity, which excludes a straggler."""
    straggles = document.kind == "model" and scenario.straggler != 1.0
    return document.endpoints - straggles


def _chunks_per_token(service: str) -> float:
    """Return the uncached prompt chunks per output token in the class mix at a load of 0.7."""
    profiles = CLASS_PROFILES[service].values()
    total = sum(profile.share for profile in profiles)
    chunks = sum(
        profile.share / total * profile.prompt_tokens / profile.work for profile in profiles
    )
    return chunks / ENGINE_PROFILE.chunk_tokens
