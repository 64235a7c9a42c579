//! Anti-entropy: two hosts compare their tables by hashes of buckets, to find what gossip missed.

use super::record::{Record, State};
use super::table::{Member, Table};
use crate::fleet::message::{MAX_PAGE_BYTES, Summary, Update};
use crate::rendezvous;

/// Number of buckets that the members are distributed over.
pub const BUCKETS: u64 = 32;
/// Limit for the members listed in one answer, unless a single bucket has more.
const MAX_LISTED_MEMBERS: usize = 64;

/// Computes a hash per bucket over the members that are not gone.
#[must_use]
pub fn digest(table: &Table) -> Vec<u64> {
    let mut buckets = vec![0_u64; BUCKETS as usize];
    for member in table.iter() {
        let record = &member.record;
        if record.state == State::Gone {
            continue;
        }
        buckets[bucket(member.key)] ^= hash(member.key, record);
    }
    buckets
}

/// Hash of a member's state. Its parts are mixed one after the other: combined by XOR, consecutive
/// incarnations in different states would have the same hash.
fn hash(key: u64, record: &Record) -> u64 {
    let state = (u64::from(record.version) << 8) | record.state as u64;
    [record.incarnation, state]
        .into_iter()
        .fold(key, |hash, part| {
            rendezvous::weight(hash, rendezvous::mix(part))
        })
}

fn bucket(key: u64) -> usize {
    (key % BUCKETS) as usize
}

/// Lists the members of buckets that differ, beginning at bucket `first`. Returns the mask of the
/// listed buckets and their members, or `None` if no bucket differs.
#[must_use]
pub fn differing_buckets(table: &Table, theirs: &[u64], first: u64) -> Option<(u64, Vec<Summary>)> {
    let ours = digest(table);
    let mut mask = 0_u64;
    let mut members: Vec<Summary> = Vec::new();
    for n in 0..BUCKETS {
        let b = ((first + n) % BUCKETS) as usize;
        if theirs.get(b) == ours.get(b) {
            continue;
        }
        let here = table.iter().filter(|m| bucket(m.key) == b);
        let summaries: Vec<Summary> = here.map(|m| m.record.summary()).collect();
        if mask != 0 && members.len() + summaries.len() > MAX_LISTED_MEMBERS {
            break;
        }
        mask |= 1 << b;
        members.extend(summaries);
    }
    (mask != 0).then_some((mask, members))
}

/// Compares listed buckets with the own table. Returns the updates that the other host lacks and
/// the keys of the records that this one lacks.
#[must_use]
pub fn compare(table: &Table, mask: u64, theirs: &[Summary]) -> (Vec<Update>, Vec<u64>) {
    let mut wanted = Vec::new();
    for summary in theirs {
        let known = table.by_key(summary.key);
        let newer = known.is_none_or(|m| summary.precedence() > m.record.precedence());
        if newer && (known.is_some() || summary.state != State::Gone) {
            wanted.push(summary.key);
        }
    }
    let lacking = |m: &&Member| {
        let listed = theirs.iter().find(|s| s.key == m.key);
        mask & (1 << bucket(m.key)) != 0
            && match listed {
                Some(s) => m.record.precedence() > s.precedence(),
                None => m.record.state != State::Gone,
            }
    };
    let updates = full_updates(table.iter().filter(lacking).map(|m| &m.record));
    (updates, wanted)
}

/// Complete records, up to [`MAX_PAGE_BYTES`].
pub fn full_updates<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<Update> {
    let mut left = MAX_PAGE_BYTES;
    let mut updates = Vec::new();
    for record in records {
        let Some(rest) = left.checked_sub(record.size_bytes()) else {
            break;
        };
        left = rest;
        updates.push(Update::Full(Box::new(record.clone())));
    }
    updates
}
