//! Rendezvous hashing: all processes compute the same choice without communication.

/// Hash of a text, the same in each process and release (FNV-1a with a final mix).
#[must_use]
pub fn hash(text: &str) -> u64 {
    hash_bytes(text.as_bytes())
}

/// Hash of bytes, the same in each process and release.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let fnv = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(fnv)
}

/// Mixes the bits of a number (the finalizer of `SplitMix64`).
#[must_use]
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Weight of a candidate for a key. The candidates with the highest weights are chosen.
#[must_use]
pub fn weight(key: u64, candidate: u64) -> u64 {
    mix(key ^ candidate.rotate_left(32))
}
