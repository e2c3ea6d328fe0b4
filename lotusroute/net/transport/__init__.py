"""What the connections of both sides share: lines, half-closes, backpressure, lingering, sockets."""
