//! A configuration as objects of the platform: content-addressed shards and a head that names them.
//!
//! Entries are put into buckets by a hash of their names, so a change of one
//! team writes and spreads one small shard and not the whole.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::{Config, Fragment, Problem, validate};
use crate::types::Revision;

/// Key of the head.
pub const HEAD_KEY: &str = "config/head";
/// Largest shard, in bytes: below the platform's 1 MB, which may be counted in tens or twos.
pub const MAX_SHARD_BYTES: usize = 900_000;
/// Buckets that a split begins with: 4,300 teams give shards of about 3 KB, while the head
/// that each change moves as well stays below 5 KB.
const FIRST_BUCKETS: u64 = 64;
/// Most buckets; more would make the head itself too large.
const MAX_BUCKETS: u64 = 4_096;
/// Publications that a head remembers, to settle a lost answer after others have published.
const MAX_HISTORY: usize = 16;

/// SHA-256 of a shard, in hexadecimal.
pub type ShardHash = String;

/// Key of a shard.
#[must_use]
pub fn shard_key(hash: &str) -> String {
    format!("config/shard/{hash}")
}

/// Hash that names a shard.
#[must_use]
pub fn shard_hash(content: &[u8]) -> ShardHash {
    use std::fmt::Write;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(content) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// The object that names the present shards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Revision.
    pub revision: Revision,
    /// Hashes of all shards, sorted.
    pub shards: Vec<ShardHash>,
    /// Random number of the publication that wrote it.
    pub publication: u64,
    /// Publications before it, latest first.
    pub history: Vec<u64>,
}

impl Head {
    /// Digest of revision and content, whoever published it; never 0.
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

    /// Publications that a head on top of this one remembers.
    #[must_use]
    pub fn history_with_self(&self) -> Vec<u64> {
        let own = std::iter::once(self.publication);
        own.chain(self.history.iter().copied())
            .take(MAX_HISTORY)
            .collect()
    }

    /// The object's value.
    ///
    /// # Errors
    ///
    /// If it can't be written as JSON.
    pub fn to_bytes(&self) -> Result<Vec<u8>, ShardError> {
        serde_json::to_vec(self).context(EncodeSnafu)
    }

    /// Reads the object's value.
    ///
    /// # Errors
    ///
    /// If it isn't a head.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ShardError> {
        serde_json::from_slice(bytes).context(HeadSnafu)
    }
}

/// Why a configuration can't be split or joined.
#[derive(Debug, Snafu)]
pub enum ShardError {
    /// A value can't be written.
    #[snafu(display("can't write the configuration as JSON: {source}"))]
    Encode {
        /// Cause.
        source: serde_json::Error,
    },
    /// One entry is too large for a shard.
    #[snafu(display(
        "a shard would have {bytes} bytes, the limit is {MAX_SHARD_BYTES}; make the largest entry smaller"
    ))]
    TooLarge {
        /// Size of the largest shard.
        bytes: usize,
    },
    /// The head can't be read.
    #[snafu(display("the head of the configuration is malformed: {source}"))]
    Head {
        /// Cause.
        source: serde_json::Error,
    },
    /// A shard is not there.
    #[snafu(display("shard {hash} is missing"))]
    Missing {
        /// Its hash.
        hash: ShardHash,
    },
    /// A shard has other content than its name says.
    #[snafu(display("shard {hash} has content with hash {found}"))]
    WrongHash {
        /// Hash that it is named by.
        hash: ShardHash,
        /// Hash of its content.
        found: ShardHash,
    },
    /// A shard can't be read.
    #[snafu(display("shard {hash} is malformed: {source}"))]
    Malformed {
        /// Its hash.
        hash: ShardHash,
        /// Cause.
        source: serde_json::Error,
    },
    /// Two shards hold the same entry.
    #[snafu(display("`{name}` is in two shards"))]
    Repeated {
        /// Name of the entry.
        name: String,
    },
    /// The whole is invalid.
    #[snafu(display("the configuration is invalid: {}", list(problems)))]
    Invalid {
        /// All faults.
        problems: Vec<Problem>,
    },
}

fn list(problems: &[Problem]) -> String {
    let texts: Vec<_> = problems.iter().take(3).map(ToString::to_string).collect();
    let more = problems.len().saturating_sub(3);
    if more == 0 {
        texts.join("; ")
    } else {
        format!("{} and {more} more", texts.join("; "))
    }
}

/// A configuration as objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The head.
    pub head: Head,
    /// The shards by hash.
    pub shards: BTreeMap<ShardHash, Vec<u8>>,
}

/// Splits a configuration. The same content always gives the same shards.
///
/// # Errors
///
/// If one entry alone is too large for a shard.
pub fn split(cfg: &Config) -> Result<Split, ShardError> {
    let mut buckets = FIRST_BUCKETS;
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
    let mut parts: BTreeMap<u64, Fragment> = BTreeMap::new();
    for (name, service) in &cfg.services {
        let part = parts.entry(bucket(name, buckets)).or_default();
        part.services.insert(name.clone(), service.clone());
    }
    for (name, team) in &cfg.teams {
        let part = parts.entry(bucket(name, buckets)).or_default();
        part.teams.insert(name.clone(), team.clone());
    }
    for (name, group) in &cfg.groups {
        let part = parts.entry(bucket(name, buckets)).or_default();
        part.groups.insert(name.clone(), group.clone());
    }
    parts.into_values().collect()
}

fn bucket(name: &str, buckets: u64) -> u64 {
    let digest = Sha256::digest(name);
    let number = digest
        .iter()
        .take(8)
        .fold(0_u64, |n, b| (n << 8) | u64::from(*b));
    number % buckets
}

fn encode(parts: &[Fragment]) -> Result<BTreeMap<ShardHash, Vec<u8>>, ShardError> {
    let mut shards = BTreeMap::new();
    for part in parts {
        let content = serde_json::to_vec(part).context(EncodeSnafu)?;
        shards.insert(shard_hash(&content), content);
    }
    Ok(shards)
}

/// Joins the shards that a head names into a valid configuration.
///
/// # Errors
///
/// If a shard is missing, has other content than its hash says or can't be
/// read, or if the whole is invalid. Nothing of it may be used then.
pub fn join(head: &Head, shards: &BTreeMap<ShardHash, Vec<u8>>) -> Result<Config, ShardError> {
    let mut cfg = Config {
        revision: head.revision,
        ..Config::default()
    };
    for hash in &head.shards {
        let content = shards.get(hash).context(MissingSnafu { hash })?;
        let found = shard_hash(content);
        ensure!(found == *hash, WrongHashSnafu { hash, found });
        let part = serde_json::from_slice(content).context(MalformedSnafu { hash })?;
        add(&mut cfg, part)?;
    }
    let problems = validate(&cfg);
    ensure!(problems.is_empty(), InvalidSnafu { problems });
    Ok(cfg)
}

fn add(cfg: &mut Config, part: Fragment) -> Result<(), ShardError> {
    for (name, service) in part.services {
        ensure!(!cfg.services.contains_key(&name), RepeatedSnafu { name });
        cfg.services.insert(name, service);
    }
    for (name, team) in part.teams {
        ensure!(!cfg.teams.contains_key(&name), RepeatedSnafu { name });
        cfg.teams.insert(name, team);
    }
    for (name, group) in part.groups {
        ensure!(!cfg.groups.contains_key(&name), RepeatedSnafu { name });
        cfg.groups.insert(name, group);
    }
    Ok(())
}
