use std::collections::BTreeSet;

use super::{PORTS, free_addresses};

/// Guards against two daemons that are given the same port: the one that came second ended, while
/// the first one answered the question whether it listens, so its fleet never got ready.
#[test]
fn daemons_never_share_a_port() {
    let mut given = BTreeSet::new();
    for _ in 0..300 {
        for address in free_addresses().unwrap() {
            assert!(PORTS.contains(&address.port()));
            assert!(given.insert(address), "{address} was given before");
        }
    }
}
