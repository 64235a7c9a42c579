//! Versions, which order everything that the platform says.
//!
//! A platform that was restored from a copy has lost its latest changes and gives their revisions out
//! again. It counts these restores; the time between two of them is an era. A version therefore consists
//! of the era, in the upper bits, and of a revision within it, as the transaction ids of Zab do
//! (Junqueira, Reed and Serafini, *Zab: High-performance broadcast for primary-backup systems*, DSN
//! 2011). Whatever was said after a restore is newer than all that was said before.

/// Version of an object, or of all objects of the platform at a time. Each write assigns a higher one,
/// also after a deletion.
pub type Version = u64;
/// Number of times that the platform was restored from a copy; 0 if it does not tell.
pub type Era = u64;
/// Number that the platform gives to a change; it is unique within an era.
pub type Revision = u64;

/// Bits of a version that hold the revision.
const REVISION_BITS: u32 = 44;
/// Largest revision that a version can hold: 1,000 changes a second for 500 years.
const MAX_REVISION: Revision = (1 << REVISION_BITS) - 1;
/// Largest era that a version can hold.
const MAX_ERA: Era = (1 << (u64::BITS - REVISION_BITS)) - 1;

/// Version of a revision that was given out in an era. Either is capped at the largest one.
#[must_use]
pub fn version(era: Era, revision: Revision) -> Version {
    (era.min(MAX_ERA) << REVISION_BITS) | revision.min(MAX_REVISION)
}

/// Era of a version.
#[must_use]
pub fn era(version: Version) -> Era {
    version >> REVISION_BITS
}

/// Revision of a version, within its era.
#[must_use]
pub fn revision(version: Version) -> Revision {
    version & MAX_REVISION
}
