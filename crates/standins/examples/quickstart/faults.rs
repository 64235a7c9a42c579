//! The faults: an engine that dies, an entry host that drains, lost answers of the store.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_net::host::Drained;
use eelgrasshold_standins::fleet::Fleet;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// Engine that dies.
const ENGINE: usize = 2;
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
    fleet.lock().await.platform.lose_answers(LOST_ANSWERS, "claims/");
    sleep(Duration::from_secs(1)).await;
    notes.on_dead_engine = {
        let fleet = fleet.lock().await;
        let running = fleet.engines[ENGINE].in_flight();
        fleet.engines[ENGINE].kill().await;
        running
    };
    say(&format!("fault: an engine died with {} drafts on it", notes.on_dead_engine));
    sleep(Duration::from_secs(1)).await;
    let entry = fleet.lock().await.entries.pop();
    say("fault: an entry host is shut down gracefully");
    if let Some(entry) = entry {
        notes.drained = Some(entry.close(std::future::pending()).await);
    }
    say("fault: the engine comes back");
    fleet.lock().await.engines[ENGINE].restart().await;
    notes
}
