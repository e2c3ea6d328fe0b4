"""The reactor of this process, which uses the monotonic clock, with a type annotation.

Twisted declares its reactor as a module without attributes. Importing that module installs a default reactor,
whose timers use the wall clock, unless one is installed already; so this module installs ours first.
"""

from typing import TYPE_CHECKING, cast

from twisted.internet.posixbase import PosixReactorBase

from lotusroute.net import monotonic_reactor

monotonic_reactor.install()

from twisted.internet import reactor as _reactor  # noqa: E402  our reactor must be installed first

if TYPE_CHECKING:

    class MonotonicReactor(monotonic_reactor.MonotonicTime, PosixReactorBase):
        """Any of the reactors that `monotonic_reactor` installs."""


reactor = cast("MonotonicReactor", _reactor)
"""Runs the timers and sockets, and thereby the process, until it is stopped."""
