//! Lower bound of a layer's time.

/// No map has a lower time for these counts, in units of tokens at speed 1, even
/// one that knew each step's counts in advance and could change in each step.
///
/// Two facts bound it. The slowest rank takes at least the total work over the
/// total speed. And within a time `t`, a copy processes at most `t` times the
/// highest speed, so an expert needs at least its tokens over that, rounded up,
/// in copies; all experts together can't have more copies than there are slots.
pub fn bound(counts: &[f64], speeds: &[f64], slots: usize) -> f64 {
    let fastest = speeds.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let balanced = counts.iter().sum::<f64>() / speeds.iter().sum::<f64>();
    let fits = |t: f64| {
        let copies = counts.iter().map(|c| (c / (t * fastest)).ceil().max(1.0));
        copies.sum::<f64>() <= slots as f64
    };
    if balanced <= 0.0 || fits(balanced) {
        return balanced;
    }
    let (mut low, mut high) = (balanced, counts.iter().sum::<f64>() / fastest);
    for _ in 0..40 {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}
