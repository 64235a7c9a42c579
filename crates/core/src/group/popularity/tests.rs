use super::*;

// Guards against an estimate that follows the noise of single windows.
#[test]
fn noise_is_smoothed() {
    let mut popularity = Popularity::default();
    popularity.observe(&[1_000, 1_000, 1_000, 1_000]);
    popularity.observe(&[1_030, 970, 1_000, 1_000]);
    let expected = popularity.expected(1.0);
    assert!((expected[0] - 0.25).abs() < 0.005, "{expected:?}");
}

// Guards against an estimate that lags behind a steady drift.
#[test]
fn trend_is_followed() {
    let mut popularity = Popularity::default();
    let window = |i: u64| [10_000 + 50 * i, 10_000 - 50 * i];
    for i in 0..60 {
        popularity.observe(&window(i));
    }
    let ahead = popularity.expected(2.0)[0];
    let truth = window(61)[0] as f64 / 20_000.0;
    assert!((ahead - truth).abs() < 0.01, "{ahead} for {truth}");
}

// Guards against many windows of imbalance after a sudden shift.
#[test]
fn sudden_shift_is_followed_at_once() {
    let mut popularity = Popularity::default();
    for _ in 0..20 {
        popularity.observe(&[9_000, 1_000]);
    }
    popularity.observe(&[1_000, 9_000]);
    assert!(popularity.expected(1.0)[1] > 0.8);
}

// Guards against a division by zero in an idle group.
#[test]
fn window_without_tokens_changes_nothing() {
    let mut popularity = Popularity::default();
    popularity.observe(&[0, 0]);
    assert!(popularity.is_empty());
}
