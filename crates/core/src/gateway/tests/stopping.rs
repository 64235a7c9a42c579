use super::ms;
use super::requests::{admit, gateway};
use crate::gateway::stopping;
use crate::types::Run;

// Guards against requests that a stopping host takes late and whose answers are lost with it.
#[test]
fn a_stopping_host_takes_only_what_it_can_answer() {
    let mut gateway = gateway(2);
    let ends_at = ms(2_000);
    let mut resumable = admit(&mut gateway, ms(0), "/s/x");
    assert!(stopping::take(ms(0), ends_at, &mut resumable).is_ok());
    assert!(resumable.deadline < ends_at);
    let mut once = admit(&mut gateway, ms(0), "/unsafe/x");
    let refusal = stopping::take(ms(0), ends_at, &mut once).unwrap_err();
    assert_eq!(refusal.run, Run::NotRun);
    let enough = ms(4_000);
    assert!(stopping::take(ms(0), enough, &mut once).is_ok());
    let mut late = admit(&mut gateway, ms(1_900), "/s/x");
    assert!(stopping::take(ms(1_900), ends_at, &mut late).is_err());
}
