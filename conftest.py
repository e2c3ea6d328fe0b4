"""Installs the program's reactor in the pytest process before any module imports Twisted's default reactor."""

from lotusroute.net import monotonic_reactor

monotonic_reactor.install()
