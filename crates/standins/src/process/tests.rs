use std::collections::BTreeSet;

use super::{PORT_RANGE, free_addresses};

/// Guards against two daemons with the same port: the second one fails to bind it and exits, while
/// the first one accepts the connection that checks whether the second listens, so the second
/// daemon's fleet never becomes ready.
#[test]
fn daemons_never_share_a_port() {
    let mut assigned = BTreeSet::new();
    for _ in 0..300 {
        for address in free_addresses().unwrap() {
            assert!(PORT_RANGE.contains(&address.port()));
            assert!(assigned.insert(address), "{address} was assigned twice");
        }
    }
}
