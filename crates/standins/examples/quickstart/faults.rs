//! The faults: an engine that dies, an entry host that drains, lost answers of the store.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_net::host::Drained;
use eelgrasshold_standins::engine::ModelEngine;
use eelgrasshold_standins::fleet::Fleet;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// Answers of claim writes that are lost.
const LOST_ANSWERS: u32 = 3;

/// What the faults showed.
#[derive(Clone, Debug, Default)]
pub struct Notes {
    /// How the drain of an entry host ended; none if it was not seen.
    pub drained: Option<Drained>,
    /// Drafts that ran on the engine when it died.
    pub on_dead_engine: usize,
}

/// Causes the faults, a few seconds apart.
pub async fn cause(fleet: &Arc<Mutex<Fleet>>, say: &impl Fn(&str)) -> Notes {
    let mut notes = Notes::default();
    sleep(Duration::from_secs(2)).await;
    say("fault: the store loses the answers of 3 claim writes that took effect");
    fleet
        .lock()
        .await
        .platform
        .lose_answers(LOST_ANSWERS, "claims/");
    sleep(Duration::from_secs(1)).await;
    let dead = {
        let fleet = fleet.lock().await;
        let (dead, engine) = busiest(&fleet.engines);
        notes.on_dead_engine = engine.in_flight();
        engine.kill().await;
        dead
    };
    say(&format!(
        "fault: an engine died with {} drafts on it",
        notes.on_dead_engine
    ));
    sleep(Duration::from_secs(1)).await;
    let entry = fleet.lock().await.entries.pop();
    say("fault: an entry host is shut down gracefully");
    if let Some(entry) = entry {
        notes.drained = Some(entry.close(std::future::pending()).await);
    }
    say("fault: the engine comes back");
    fleet.lock().await.engines[dead].restart().await;
    notes
}

fn busiest(engines: &[ModelEngine]) -> (usize, &ModelEngine) {
    let busy = engines
        .iter()
        .enumerate()
        .max_by_key(|(_, engine)| engine.in_flight());
    busy.unwrap_or((0, &engines[0]))
}
