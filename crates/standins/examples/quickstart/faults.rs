//! Faults: lost answers of the platform, an engine crash, and the drain of an entry host.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_net::host::Drained;
use eelgrasshold_standins::engine::ModelEngine;
use eelgrasshold_standins::fleet::Fleet;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// Number of claim writes whose answers are lost.
const LOST_ANSWERS: u32 = 3;

/// Observations during the faults.
#[derive(Clone, Debug, Default)]
pub struct FaultResults {
    /// How the drain of an entry host ended; none if no entry host was left to drain.
    pub drained: Option<Drained>,
    /// Number of drafts in flight on the engine when it crashed.
    pub drafts_on_crashed_engine: usize,
}

/// Injects the faults, a second or more apart, and restarts the engine in the end.
pub async fn inject(fleet: &Arc<Mutex<Fleet>>, progress: &impl Fn(&str)) -> FaultResults {
    let mut results = FaultResults::default();
    sleep(Duration::from_secs(2)).await;
    progress("fault: the store loses the answers of 3 claim writes that took effect");
    fleet
        .lock()
        .await
        .platform
        .lose_answers(LOST_ANSWERS, "claims/");
    sleep(Duration::from_secs(1)).await;
    let crashed = {
        let fleet = fleet.lock().await;
        let (crashed, engine) = busiest(&fleet.engines);
        results.drafts_on_crashed_engine = engine.in_flight();
        engine.kill().await;
        crashed
    };
    progress(&format!(
        "fault: an engine died with {} drafts on it",
        results.drafts_on_crashed_engine
    ));
    sleep(Duration::from_secs(1)).await;
    let entry = fleet.lock().await.entries.pop();
    progress("fault: an entry host is shut down gracefully");
    if let Some(entry) = entry {
        results.drained = Some(entry.close(std::future::pending()).await);
    }
    progress("fault: the engine comes back");
    fleet.lock().await.engines[crashed].restart().await;
    results
}

fn busiest(engines: &[ModelEngine]) -> (usize, &ModelEngine) {
    let busiest = engines
        .iter()
        .enumerate()
        .max_by_key(|(_, engine)| engine.in_flight());
    busiest.unwrap_or((0, &engines[0]))
}
