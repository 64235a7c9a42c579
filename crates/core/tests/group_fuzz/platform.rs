//! Simulated platform: an object API with conditional updates.

use std::collections::BTreeMap;

use eelgrasshold_core::platform::{Call, Condition, Reply, Version};

#[derive(Default)]
pub struct Platform {
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    last: Version,
}

impl Platform {
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.objects.get(key).map(|(_, v)| v.as_slice())
    }

    pub fn call(&mut self, call: Call) -> Reply {
        match call {
            Call::Get { key } => match self.objects.get(&key) {
                Some((version, value)) => Reply::Object {
                    version: *version,
                    value: value.clone(),
                },
                None => Reply::Missing,
            },
            Call::Put {
                key,
                value,
                condition,
            } => {
                let present = self.objects.get(&key).map_or(0, |o| o.0);
                let wanted = match condition {
                    Condition::Absent => 0,
                    Condition::Version(version) => version,
                };
                if present != wanted {
                    return Reply::Conflict { version: present };
                }
                self.last += 1;
                self.objects.insert(key, (self.last, value));
                Reply::Written { version: self.last }
            }
            Call::Delete { .. } | Call::Watch { .. } => Reply::Unavailable,
        }
    }
}
