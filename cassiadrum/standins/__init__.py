"""Small stand-ins of the outside systems, for tests and the demo."""

from cassiadrum.standins.answer_texts import answer_text, answer_tokens
from cassiadrum.standins.engines import EngineStandin, prompt_of
from cassiadrum.standins.plain_services import PlainServiceStandin
from cassiadrum.standins.run_records import RunRecord

__all__ = [
    "EngineStandin",
    "PlainServiceStandin",
    "RunRecord",
    "answer_text",
    "answer_tokens",
    "prompt_of",
]
