//! Versioned object store, free of I/O.

use std::collections::BTreeMap;

use bytes::Bytes;
use eelgrasshold_core::platform::{Call, Condition, MAX_VALUE_BYTES, Reply, Version};
use snafu::Snafu;

/// A stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version of the write that stored the value; at least 1.
    pub version: Version,
    /// Value, at most [`MAX_VALUE_BYTES`] long.
    pub value: Bytes,
}

/// Reason why a write or deletion had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum WriteError {
    /// The condition did not hold.
    #[snafu(display("the object has version {version}; read it and try again"))]
    Conflict {
        /// Current version of the object; 0 if it does not exist.
        version: Version,
    },
    /// The value exceeds [`MAX_VALUE_BYTES`].
    #[snafu(display("the value exceeds {MAX_VALUE_BYTES} bytes; split it"))]
    TooLarge,
}

/// Objects by key. One version counter serves all objects, so that a version is never reused, not
/// even after a deletion.
#[derive(Clone, Debug, Default)]
pub struct Store {
    objects: BTreeMap<String, Object>,
    last_version: Version,
}

impl Store {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Version of the latest write or deletion; 0 before the first one.
    #[must_use]
    pub fn last_version(&self) -> Version {
        self.last_version
    }

    /// Returns an object; `None` if it does not exist.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Current version of an object; 0 if it does not exist.
    #[must_use]
    pub fn version(&self, key: &str) -> Version {
        self.get(key).map_or(0, |object| object.version)
    }

    /// Lists the objects whose key begins with `prefix`, in the order of their keys.
    pub fn list<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Object)> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, object)| (key.as_str(), object))
    }

    /// Writes an object if the condition holds, and returns its new version.
    ///
    /// # Errors
    /// [`WriteError::TooLarge`] or [`WriteError::Conflict`]; nothing is written then.
    pub fn put(
        &mut self,
        key: &str,
        value: impl Into<Bytes>,
        condition: Condition,
    ) -> Result<Version, WriteError> {
        let value = value.into();
        if value.len() > MAX_VALUE_BYTES {
            return Err(WriteError::TooLarge);
        }
        self.check(key, condition)?;
        self.last_version += 1;
        let version = self.last_version;
        self.objects
            .insert(key.to_owned(), Object { version, value });
        Ok(version)
    }

    /// Deletes an object if it has this version, and returns the version of the deletion.
    ///
    /// # Errors
    /// [`WriteError::Conflict`] if the object has another version or does not exist.
    pub fn delete(&mut self, key: &str, version: Version) -> Result<Version, WriteError> {
        self.check(key, Condition::Version(version))?;
        self.objects.remove(key);
        self.last_version += 1;
        Ok(self.last_version)
    }

    /// Executes a platform call immediately. A watch does not wait: it returns
    /// [`Reply::Unchanged`] if there is no change.
    pub fn call(&mut self, call: &Call) -> Reply {
        match call {
            Call::Get { key } => self.read(key),
            Call::Put {
                key,
                value,
                condition,
            } => reply(self.put(key, value.clone(), *condition)),
            Call::Delete { key, version } => reply(self.delete(key, *version)),
            Call::Watch { key, after } if self.changed(key, *after) => self.read(key),
            Call::Watch { .. } => Reply::Unchanged,
        }
    }

    /// Whether a watch after version `after` ends: the object has a higher
    /// version, or `after` is above 0 and the object has been deleted.
    #[must_use]
    pub fn changed(&self, key: &str, after: Version) -> bool {
        match self.get(key) {
            Some(object) => object.version > after,
            None => after > 0,
        }
    }

    fn read(&self, key: &str) -> Reply {
        self.get(key)
            .map_or(Reply::Missing, |object| Reply::Object {
                version: object.version,
                value: object.value.to_vec(),
            })
    }

    fn check(&self, key: &str, condition: Condition) -> Result<(), WriteError> {
        let version = self.version(key);
        let holds = match condition {
            Condition::Absent => version == 0,
            Condition::Version(expected) => version != 0 && version == expected,
        };
        if holds {
            Ok(())
        } else {
            Err(WriteError::Conflict { version })
        }
    }
}

fn reply(result: Result<Version, WriteError>) -> Reply {
    match result {
        Ok(version) => Reply::Written { version },
        Err(WriteError::Conflict { version }) => Reply::Conflict { version },
        Err(WriteError::TooLarge) => Reply::Unavailable,
    }
}
