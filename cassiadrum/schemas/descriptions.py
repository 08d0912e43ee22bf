"""Text descriptions of the values that an annotation allows."""

from typing import Any, Literal, NotRequired, get_args, get_origin

from msgspec import Meta

__all__ = ["describe"]

TYPE_NAMES: dict[Any, str] = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "true or false",
}


def describe(hint: Any) -> str:
    """Return a description of the values that a schema annotation allows.

    A pattern is described by the `description` of its `msgspec.Meta`.
    """
    if get_origin(hint) is NotRequired:
        return describe(get_args(hint)[0])
    if hasattr(hint, "__metadata__"):
        return _describe_annotated(hint.__metadata__[0], hint.__origin__)
    if get_origin(hint) is Literal:
        return ", ".join(f"`{value}`" for value in get_args(hint))
    if get_origin(hint) is list:
        item = get_args(hint)[0]
        return "list of tables" if item is object else f"list of: {describe(item)}"
    return "table" if get_origin(hint) is dict else TYPE_NAMES[hint]


def _describe_annotated(meta: Meta, bare: Any) -> str:
    if meta.description is not None:
        return meta.description
    text = describe(bare)
    if meta.min_length:
        return f"{text}, at least {meta.min_length}"
    if meta.gt is not None:
        return f"{text} above {meta.gt:g}, up to {meta.le}"
    return f"{text} from {meta.ge} to {meta.le}"
