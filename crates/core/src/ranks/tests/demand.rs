use crate::ranks::demand::Demand;

const EXPERTS: usize = 32;
const COUNTS_PER_READING: u64 = 100_000;

/// Selections of one reading in which the popular experts share one half and all others the other
/// half.
fn counts_of_reading(popular: &[usize], counts: u64) -> Vec<u64> {
    let per_other = counts / 2 / (EXPERTS - popular.len()) as u64;
    let per_popular = counts / 2 / popular.len() as u64;
    let each = |e| {
        if popular.contains(&e) {
            per_popular
        } else {
            per_other
        }
    };
    (0..EXPERTS).map(each).collect()
}

fn add(total: &mut [u64], more: &[u64]) {
    for (total, more) in total.iter_mut().zip(more) {
        *total += more;
    }
}

/// Guards against plans for the popularity before a shift: a reading that spans a shift is a
/// mixture, and waiting for the next one costs a whole interval of slow passes.
#[test]
fn popularity_after_a_shift_is_derived_from_the_reading_that_spans_it() {
    let mut demand = Demand::default();
    let mut total = vec![0; EXPERTS];
    demand.record_counts(0, vec![total.clone()]);
    for _ in 0..6 {
        add(
            &mut total,
            &counts_of_reading(&[1, 2, 3, 4], COUNTS_PER_READING),
        );
        demand.record_counts(0, vec![total.clone()]);
        demand.finish_reading();
    }
    add(
        &mut total,
        &counts_of_reading(&[1, 2, 3, 4], COUNTS_PER_READING / 2),
    );
    add(
        &mut total,
        &counts_of_reading(&[11, 12, 13, 14], COUNTS_PER_READING / 2),
    );
    demand.record_counts(0, vec![total.clone()]);
    demand.finish_reading();
    let shares = &demand
        .shares()
        .expect("half of the reading lies after the shift")[0];
    for expert in [11, 12, 13, 14] {
        assert!((shares[expert] - 0.125).abs() < 0.02, "{}", shares[expert]);
    }
    for expert in [1, 2, 3, 4] {
        assert!(shares[expert] < 0.04, "{}", shares[expert]);
    }
}

/// Guards against plans that are based on the work of a few requests.
#[test]
fn too_few_counts_give_no_shares() {
    let mut demand = Demand::default();
    let mut total = vec![0; EXPERTS];
    demand.record_counts(0, vec![total.clone()]);
    add(&mut total, &counts_of_reading(&[1, 2, 3, 4], 2_000));
    demand.record_counts(0, vec![total.clone()]);
    demand.finish_reading();
    assert!(demand.shares().is_none());
}

/// Guards against shares computed from differences in the billions after the counters of a
/// restarted rank began at zero.
#[test]
fn counters_of_a_restarted_rank_begin_at_zero() {
    let mut demand = Demand::default();
    demand.record_counts(0, vec![vec![10_000_000; EXPERTS]]);
    demand.record_counts(0, vec![counts_of_reading(&[1, 2], COUNTS_PER_READING)]);
    demand.finish_reading();
    let shares = &demand.shares().expect("a reading with enough counts")[0];
    assert!((shares[1] - 0.25).abs() < 0.01, "{}", shares[1]);
}
