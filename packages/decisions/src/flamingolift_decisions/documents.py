"""Versioned documents: only a higher number replaces the version held."""

__all__ = ["HeldDocument", "LatestDocuments", "is_newer", "offer_document", "versions"]


class HeldDocument:
    """The latest version of the document of one kind.

    Attributes:
        number: Number of the version.
        body: Encoded form, as it is sent to peers.
        value: Decoded form.
    """

    __slots__ = ("body", "number", "value")

    def __init__(self, number, body, value):
        self.number = number
        self.body = body
        self.value = value


class LatestDocuments:
    """The latest version that this instance holds of each kind of document.

    Attributes:
        held: Map of document kind to HeldDocument.
    """

    __slots__ = ("held",)

    def __init__(self):
        self.held = {}


def offer_document(documents, kind, number, body, value):
    """Stores a document when its number is higher than that of the version held.

    Args:
        documents: LatestDocuments.
        kind: Document kind.
        number: Number of the offered document.
        body: Encoded form.
        value: Decoded form.

    Returns:
        Whether it was stored. An equal or lower number never replaces the version
        held, in whatever order the messages arrive.
    """
    held = documents.held.get(kind)
    if held is not None and number <= held.number:
        return False
    documents.held[kind] = HeldDocument(number, body, value)
    return True


def versions(documents):
    """Returns a map of document kind to the number held."""
    return {kind: held.number for kind, held in documents.held.items()}


def is_newer(documents, kind, number):
    """Returns whether a number is higher than that of the version held."""
    held = documents.held.get(kind)
    return held is None or number > held.number
