//! Lower bound of the time of a layer.

/// Lower bound of the time of a layer for these counts, in units of tokens at speed 1.
///
/// It holds for every map, even for one that is planned from these counts and changes in each
/// step. The slowest rank takes at least the total work divided by the total speed. Within a time
/// `t`, a copy processes at most `t` times the highest speed, so an expert needs at least its
/// tokens divided by that, rounded up, in copies; all experts together have at most `slots`
/// copies.
pub fn min_layer_time(counts: &[f64], speeds: &[f64], slots: usize) -> f64 {
    let fastest = speeds.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let balanced_time = counts.iter().sum::<f64>() / speeds.iter().sum::<f64>();
    let is_feasible = |t: f64| {
        let copies = counts.iter().map(|c| (c / (t * fastest)).ceil().max(1.0));
        copies.sum::<f64>() <= slots as f64
    };
    if balanced_time <= 0.0 || is_feasible(balanced_time) {
        return balanced_time;
    }
    let (mut low, mut high) = (balanced_time, counts.iter().sum::<f64>() / fastest);
    for _ in 0..40 {
        let middle = f64::midpoint(low, high);
        if is_feasible(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}
