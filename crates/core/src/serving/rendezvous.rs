//! Rendezvous hashing: each host computes the same choice without talking.

/// Hash of a text, the same in each process and release (FNV-1a with a final mix).
pub(super) fn hash(text: &str) -> u64 {
    let fnv = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(fnv)
}

/// Weight of a candidate for a key; the highest are chosen.
pub(super) fn weight(key: u64, candidate: u64) -> u64 {
    mix(key ^ candidate.rotate_left(32))
}

/// The finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
