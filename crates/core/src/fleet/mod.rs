//! The fleet: membership, the spread of configuration, answers to callers, use of the platform.
