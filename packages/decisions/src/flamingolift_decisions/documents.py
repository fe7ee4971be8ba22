"""Numbered documents that never go back."""

__all__ = ["HeldDocument", "LatestDocuments", "is_newer", "offer_document", "versions"]


class HeldDocument:
    """The newest document of one kind.

    Attributes:
        number: Its number.
        body: Its encoded form, for peers.
        value: Its decoded form.
    """

    __slots__ = ("body", "number", "value")

    def __init__(self, number, body, value):
        self.number = number
        self.body = body
        self.value = value


class LatestDocuments:
    """The newest document of each kind that this instance holds.

    Attributes:
        held: Map of document kind to HeldDocument.
    """

    __slots__ = ("held",)

    def __init__(self):
        self.held = {}


def offer_document(shelf, kind, number, body, value):
    """Keeps a document when it is newer than the one held.

    Args:
        shelf: LatestDocuments.
        kind: Document kind.
        number: Number of the offered document.
        body: Encoded form.
        value: Decoded form.

    Returns:
        Whether it was taken. An equal or older number never replaces what is
        held, whatever order the messages come in.
    """
    held = shelf.held.get(kind)
    if held is not None and number <= held.number:
        return False
    shelf.held[kind] = HeldDocument(number, body, value)
    return True


def versions(shelf):
    """Returns the map of document kind to the number held."""
    return {kind: held.number for kind, held in shelf.held.items()}


def is_newer(shelf, kind, number):
    """Returns whether a document of this number is newer than the one held."""
    held = shelf.held.get(kind)
    return held is None or number > held.number
