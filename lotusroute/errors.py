"""The base classes of the exceptions that lotusroute raises.

Each message names the key or value at fault and can be shown to an operator unchanged. Packages define more
specific types in their own modules.
"""

from collections.abc import Iterable


class LotusrouteError(Exception):
    """Base class of all errors that this package raises itself."""


class InvalidValueError(LotusrouteError):
    """A value that was read cannot be used; the message says where it was read and why it is invalid."""


class MalformedNumberError(InvalidValueError):
    """A string from a file or message is not a finite number."""

    def __init__(self, text: str) -> None:
        super().__init__(f"expected a finite number, got '{text}'")
        self.text = text


class UnknownNameError(InvalidValueError):
    """A name or number from a file or message is not one of the known ones."""

    def __init__(self, kind: str, name: object, known_names: Iterable[object]) -> None:
        known = ", ".join(map(str, known_names))
        expected = f"must be one of {known}" if known else "there is none so far"
        super().__init__(f"unknown {kind} '{name}'; {expected}")
        self.kind = kind
        self.name = name


class ConfigError(InvalidValueError):
    """A configuration file or environment variable is missing, unreadable or invalid."""


class ProtocolError(InvalidValueError):
    """Input from a client, a server, discovery or the simulator does not follow its protocol."""
