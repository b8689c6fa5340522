"""Interface for decoders of operators' routing configuration documents."""

from abc import ABC, abstractmethod

from turmericreel.model.routing import RoutingConfiguration


class RoutingCodec(ABC):
    """Decodes the documents in which operators write configurations."""

    @abstractmethod
    def decode(self, document: bytes) -> RoutingConfiguration:
        """Return the configuration that a document describes.

        Raises
        ------
        FailureError
            With `RoutingRejected` when the document is invalid.
        """
