"""Installs the program's reactor in the process that runs the tests, before any module imports Twisted's."""

from lotusroute.net import monotonic_reactor

monotonic_reactor.install()
