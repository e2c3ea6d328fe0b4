"""The exceptions that lotusroute raises for input that it cannot use.

Each message names the key or value at fault and can be shown to an operator as it is.
"""


class LotusrouteError(Exception):
    """Base class of all errors that this package raises on purpose."""


class InvalidValueError(LotusrouteError):
    """A value cannot be used where it was read; the message says where and why."""


class MalformedNumberError(InvalidValueError):
    """A text of a file or message is not a number."""

    def __init__(self, text: str) -> None:
        super().__init__(f"'{text}' is not a number")
        self.text = text


class UnknownNameError(InvalidValueError):
    """A name or number of a file or message is not one of the known ones."""

    def __init__(self, kind: str, name: object) -> None:
        super().__init__(f"unknown {kind} '{name}'")
        self.kind = kind
        self.name = name


class ConfigError(InvalidValueError):
    """A configuration file or environment variable is missing, unreadable or invalid."""


class ProtocolError(InvalidValueError):
    """Input from a client, a server, discovery or the simulator does not follow its protocol."""
