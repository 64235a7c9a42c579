//! Sockets and timers around the core.
