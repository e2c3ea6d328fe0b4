"""The base classes of the exceptions that lotusroute raises.

Each message names the key or value at fault and can be shown to an operator unchanged. Packages define more
specific types in modules of their own.
"""


class LotusrouteError(Exception):
    """Base class of all errors that this package raises itself."""


class InvalidValueError(LotusrouteError):
    """A value that was read cannot be used; the message says where it was read and why it is invalid."""


class ConfigError(InvalidValueError):
    """A configuration file or environment variable is missing, unreadable or invalid."""


class ProtocolError(InvalidValueError):
    """Input from a client, a server, discovery or the simulator does not follow its protocol."""
