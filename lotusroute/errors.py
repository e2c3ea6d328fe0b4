"""The exceptions that lotusroute raises for input that it cannot use.

Each message names the key or value at fault and can be shown to an operator as it is.
"""


class LotusrouteError(Exception):
    """Base class of all errors that this package raises on purpose."""


class InvalidValueError(LotusrouteError):
    """A value cannot be used where it was read; the message says where and why."""


class ConfigError(InvalidValueError):
    """A configuration file or environment variable is missing, unreadable or invalid."""


class ProtocolError(InvalidValueError):
    """Input from a client, a server, discovery or the simulator does not follow its protocol."""
