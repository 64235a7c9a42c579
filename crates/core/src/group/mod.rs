//! Expert-parallel model groups: maps, switches, leases and placement.
