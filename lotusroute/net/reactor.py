"""The reactor of this process, on the monotonic clock and with its type.

Twisted declares its reactor as a module without attributes. Importing that module installs a default reactor,
whose timers go by the wall clock, unless one is installed already; so this module installs ours first.
"""

from typing import cast

from twisted.internet.posixbase import PosixReactorBase

from lotusroute.net import monotonic_reactor

monotonic_reactor.install()

from twisted.internet import reactor as _reactor  # noqa: E402  the installation has to come first

reactor = cast(PosixReactorBase, _reactor)
"""Timers, sockets and the life of the process."""
