"""Starts, stops and observes child processes on the loopback interface.

It is used by fault injection, capacity runs, benchmarks and tests; the balancer itself never imports this
package. Times are in seconds unless a name has another unit.
"""
