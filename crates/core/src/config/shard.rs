//! Storage of a configuration in the platform: content-addressed shards and a head that lists them.
//!
//! Entries are assigned to buckets by a hash of their names. A change of one team
//! therefore writes and replicates one small shard instead of the whole configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::{Config, Fragment, Problem, validate};
use crate::types::Revision;

/// Key of the [`Head`] in the platform.
pub const HEAD_KEY: &str = "config/head";
/// Maximum size of a shard, in bytes. It is below the platform's limit of 1 MB, whether that means
/// 10^6 or 2^20 bytes.
pub const MAX_SHARD_BYTES: usize = 900_000;
/// Initial number of buckets. With 4,300 teams, shards have about 3 KB and the head, which is also
/// replicated on each change, stays below 5 KB.
const INITIAL_BUCKETS: u64 = 64;
/// Maximum number of buckets; with more, the head would become too large.
const MAX_BUCKETS: u64 = 4_096;
/// Maximum number of previous publications listed in a head. With them, a publisher whose reply was
/// lost can find its own number after others have published.
const MAX_HISTORY: usize = 16;

/// SHA-256 of a shard's content, in lower-case hexadecimal.
pub type ShardHash = String;

/// Key in the platform of the shard with this hash.
#[must_use]
pub fn shard_key(hash: &str) -> String {
    format!("config/shard/{hash}")
}

/// Hash that identifies a shard with this content.
#[must_use]
pub fn shard_hash(content: &[u8]) -> ShardHash {
    use std::fmt::Write;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(content) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Root object of the configuration, which lists the shards of the current revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Revision of the configuration that the shards make up.
    pub revision: Revision,
    /// Hashes of all shards, in ascending order.
    pub shards: Vec<ShardHash>,
    /// Random number of the publication that wrote this head.
    pub publication: u64,
    /// Numbers of the previous publications, latest first, at most 16.
    pub history: Vec<u64>,
}

impl Head {
    /// Digest of revision and content, independent of the publication; never 0.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = Sha256::new();
        hasher.update(self.revision.to_be_bytes());
        for hash in &self.shards {
            hasher.update(hash);
        }
        let first = hasher
            .finalize()
            .iter()
            .take(8)
            .fold(0, |n, b| (n << 8) | u64::from(*b));
        u64::max(first, 1)
    }

    /// Value of [`Self::history`] in the head that replaces this one.
    #[must_use]
    pub fn history_with_self(&self) -> Vec<u64> {
        let own = std::iter::once(self.publication);
        own.chain(self.history.iter().copied())
            .take(MAX_HISTORY)
            .collect()
    }

    /// Encodes the head as JSON.
    ///
    /// # Errors
    ///
    /// [`ShardError::Encode`] if serialization fails.
    pub fn to_bytes(&self) -> Result<Vec<u8>, ShardError> {
        serde_json::to_vec(self).context(EncodeSnafu)
    }

    /// Decodes a head from JSON.
    ///
    /// # Errors
    ///
    /// [`ShardError::Head`] if the value is not a head.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ShardError> {
        serde_json::from_slice(bytes).context(HeadSnafu)
    }
}

/// Error in splitting or joining a configuration.
#[derive(Debug, Snafu)]
pub enum ShardError {
    /// Serialization to JSON failed.
    #[snafu(display("can't write the configuration as JSON: {source}"))]
    Encode {
        /// Cause.
        source: serde_json::Error,
    },
    /// An entry is too large for a shard, even with the maximum number of buckets.
    #[snafu(display(
        "a shard would have {bytes} bytes, the limit is {MAX_SHARD_BYTES}; make the largest entry smaller"
    ))]
    TooLarge {
        /// Size of the largest shard.
        bytes: usize,
    },
    /// The head is not valid JSON of a [`Head`].
    #[snafu(display("the head of the configuration is malformed: {source}"))]
    Head {
        /// Cause.
        source: serde_json::Error,
    },
    /// A shard that the head lists is not available.
    #[snafu(display("shard {hash} is missing"))]
    Missing {
        /// Hash of the shard in the head.
        hash: ShardHash,
    },
    /// The content of a shard doesn't match its hash.
    #[snafu(display("shard {hash} has content with hash {found}"))]
    WrongHash {
        /// Expected hash, from the head.
        hash: ShardHash,
        /// Actual hash of the content.
        found: ShardHash,
    },
    /// A shard is not valid JSON of a [`Fragment`].
    #[snafu(display("shard {hash} is malformed: {source}"))]
    Malformed {
        /// Hash of the shard in the head.
        hash: ShardHash,
        /// Cause.
        source: serde_json::Error,
    },
    /// Two shards contain an entry with the same name in the same section.
    #[snafu(display("`{name}` is in two shards"))]
    Repeated {
        /// Name of the service, team or group.
        name: String,
    },
    /// The joined configuration fails [`validate`].
    #[snafu(display("the configuration is invalid: {}", summarize(problems)))]
    Invalid {
        /// All problems; the message lists the first three.
        problems: Vec<Problem>,
    },
}

fn summarize(problems: &[Problem]) -> String {
    let texts: Vec<_> = problems.iter().take(3).map(ToString::to_string).collect();
    let more = problems.len().saturating_sub(3);
    if more == 0 {
        texts.join("; ")
    } else {
        format!("{} and {more} more", texts.join("; "))
    }
}

/// Objects that store a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Head that lists the shards; its publication number and history are not set.
    pub head: Head,
    /// Contents of the shards by hash.
    pub shards: BTreeMap<ShardHash, Vec<u8>>,
}

/// Splits a configuration into shards. The result depends only on the content.
///
/// # Errors
///
/// [`ShardError::TooLarge`] if a shard exceeds [`MAX_SHARD_BYTES`] even with the maximum number of
/// buckets, or [`ShardError::Encode`] if serialization fails.
pub fn split(cfg: &Config) -> Result<Split, ShardError> {
    let mut buckets = INITIAL_BUCKETS;
    loop {
        let shards = encode(&fragments(cfg, buckets))?;
        let largest = shards.values().map(Vec::len).max().unwrap_or(0);
        if largest <= MAX_SHARD_BYTES {
            let head = Head {
                revision: cfg.revision,
                shards: shards.keys().cloned().collect(),
                ..Head::default()
            };
            return Ok(Split { head, shards });
        }
        ensure!(buckets < MAX_BUCKETS, TooLargeSnafu { bytes: largest });
        buckets *= 4;
    }
}

fn fragments(cfg: &Config, buckets: u64) -> Vec<Fragment> {
    let mut fragments_by_bucket: BTreeMap<u64, Fragment> = BTreeMap::new();
    for (name, service) in &cfg.services {
        let fragment = fragments_by_bucket
            .entry(bucket(name, buckets))
            .or_default();
        fragment.services.insert(name.clone(), service.clone());
    }
    for (name, team) in &cfg.teams {
        let fragment = fragments_by_bucket
            .entry(bucket(name, buckets))
            .or_default();
        fragment.teams.insert(name.clone(), team.clone());
    }
    for (name, group) in &cfg.groups {
        let fragment = fragments_by_bucket
            .entry(bucket(name, buckets))
            .or_default();
        fragment.groups.insert(name.clone(), group.clone());
    }
    fragments_by_bucket.into_values().collect()
}

fn bucket(name: &str, buckets: u64) -> u64 {
    let digest = Sha256::digest(name);
    let number = digest
        .iter()
        .take(8)
        .fold(0_u64, |n, b| (n << 8) | u64::from(*b));
    number % buckets
}

fn encode(fragments: &[Fragment]) -> Result<BTreeMap<ShardHash, Vec<u8>>, ShardError> {
    let mut shards = BTreeMap::new();
    for fragment in fragments {
        let content = serde_json::to_vec(fragment).context(EncodeSnafu)?;
        shards.insert(shard_hash(&content), content);
    }
    Ok(shards)
}

/// Joins the shards that a head lists into a valid configuration.
///
/// # Errors
///
/// If a shard is missing, doesn't match its hash or is malformed, if two shards contain the same
/// entry, or if the result is invalid. In these cases no part of it may be used.
pub fn join(head: &Head, shards: &BTreeMap<ShardHash, Vec<u8>>) -> Result<Config, ShardError> {
    let mut cfg = Config {
        revision: head.revision,
        ..Config::default()
    };
    for hash in &head.shards {
        let content = shards.get(hash).context(MissingSnafu { hash })?;
        let found = shard_hash(content);
        ensure!(found == *hash, WrongHashSnafu { hash, found });
        let fragment = serde_json::from_slice(content).context(MalformedSnafu { hash })?;
        merge_fragment(&mut cfg, fragment)?;
    }
    let problems = validate(&cfg);
    ensure!(problems.is_empty(), InvalidSnafu { problems });
    Ok(cfg)
}

fn merge_fragment(cfg: &mut Config, fragment: Fragment) -> Result<(), ShardError> {
    for (name, service) in fragment.services {
        ensure!(!cfg.services.contains_key(&name), RepeatedSnafu { name });
        cfg.services.insert(name, service);
    }
    for (name, team) in fragment.teams {
        ensure!(!cfg.teams.contains_key(&name), RepeatedSnafu { name });
        cfg.teams.insert(name, team);
    }
    for (name, group) in fragment.groups {
        ensure!(!cfg.groups.contains_key(&name), RepeatedSnafu { name });
        cfg.groups.insert(name, group);
    }
    Ok(())
}
