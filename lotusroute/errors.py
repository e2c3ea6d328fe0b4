"""The exceptions that lotusroute raises for input it cannot use.

Each message names the offending key or value, says how to correct it, and is fit to be shown to an operator.
"""


class LotusrouteError(Exception):
    """Base class of all errors that this package raises on purpose."""


class InvalidValueError(LotusrouteError):
    """A value cannot be used where it was read; the message says where and why."""


class ConfigError(InvalidValueError):
    """A configuration file or environment variable is missing, unreadable or invalid."""


class ProtocolError(InvalidValueError):
    """Input from a client, a server, discovery or the simulator does not follow its protocol."""
