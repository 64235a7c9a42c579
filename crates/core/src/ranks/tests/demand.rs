use crate::ranks::demand::Demand;

const EXPERTS: usize = 32;
const READING: u64 = 100_000;

/// Counts of one reading in which some experts take half of the work and the rest the other half.
fn reading(popular: &[usize], counts: u64) -> Vec<u64> {
    let rest = counts / 2 / (EXPERTS - popular.len()) as u64;
    let much = counts / 2 / popular.len() as u64;
    let each = |e| if popular.contains(&e) { much } else { rest };
    (0..EXPERTS).map(each).collect()
}

fn add(total: &mut [u64], more: &[u64]) {
    for (total, more) in total.iter_mut().zip(more) {
        *total += more;
    }
}

/// Guards against a plan for what was popular before a jump: a reading in which the jump fell
/// shows a mixture, and waiting for the next one costs a whole reading of slow passes.
#[test]
fn popularity_after_a_jump_is_known_from_the_reading_in_which_it_fell() {
    let mut demand = Demand::default();
    let mut total = vec![0; EXPERTS];
    demand.count(0, vec![total.clone()]);
    for _ in 0..6 {
        add(&mut total, &reading(&[1, 2, 3, 4], READING));
        demand.count(0, vec![total.clone()]);
        demand.fold();
    }
    add(&mut total, &reading(&[1, 2, 3, 4], READING / 2));
    add(&mut total, &reading(&[11, 12, 13, 14], READING / 2));
    demand.count(0, vec![total.clone()]);
    demand.fold();
    let shares = &demand.shares().expect("half of the reading shows it")[0];
    for expert in [11, 12, 13, 14] {
        assert!((shares[expert] - 0.125).abs() < 0.02, "{}", shares[expert]);
    }
    for expert in [1, 2, 3, 4] {
        assert!(shares[expert] < 0.04, "{}", shares[expert]);
    }
}

/// Guards against plans from the work of a few requests.
#[test]
fn a_few_counts_say_nothing() {
    let mut demand = Demand::default();
    let mut total = vec![0; EXPERTS];
    demand.count(0, vec![total.clone()]);
    add(&mut total, &reading(&[1, 2, 3, 4], 2_000));
    demand.count(0, vec![total.clone()]);
    demand.fold();
    assert!(demand.shares().is_none());
}

/// Guards against counts of billions after a rank began to count from nothing.
#[test]
fn a_rank_that_started_again_counts_from_nothing() {
    let mut demand = Demand::default();
    demand.count(0, vec![vec![10_000_000; EXPERTS]]);
    demand.count(0, vec![reading(&[1, 2], READING)]);
    demand.fold();
    let shares = &demand.shares().expect("a whole reading")[0];
    assert!((shares[1] - 0.25).abs() < 0.01, "{}", shares[1]);
}
