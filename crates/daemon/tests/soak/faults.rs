//! A seeded schedule of signals to gateways and changes of the platform, which overlap.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrasshold_standins::process::Daemon;
use eelgrasshold_standins::users::{AccessMode, Reply};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use super::fleet::{DRAIN_LIMIT, Fleet};

/// Requests that a replica stalls with.
const STALLED_REQUESTS: usize = 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// A planned stop, and a new start some time later.
    Terminate,
    Kill,
    Freeze,
    Reload,
    Publish,
    Store(AccessMode),
    /// The store goes back to a copy of some time ago, and what was lost is written again.
    StoreRestored,
    ReplicaLeaves,
    ReplicaPauses,
    /// Its next requests run, but have no answer or a failure.
    ReplicaFails,
    /// Its next requests run until their connections close.
    ReplicaStalls,
}

const FAULTS: [Fault; 16] = [
    Fault::Terminate,
    Fault::Terminate,
    Fault::Terminate,
    Fault::Kill,
    Fault::Freeze,
    Fault::Freeze,
    Fault::Reload,
    Fault::Publish,
    Fault::Store(AccessMode::Busy),
    Fault::Store(AccessMode::Reset),
    Fault::Store(AccessMode::Unresponsive),
    Fault::StoreRestored,
    Fault::ReplicaLeaves,
    Fault::ReplicaPauses,
    Fault::ReplicaFails,
    Fault::ReplicaStalls,
];

/// Plays the schedule of a seed, and waits until all that it has begun is over.
pub async fn inject(fleet: &Arc<Fleet>, seed: u64, length: Duration) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let until = Instant::now() + length;
    let mut running = JoinSet::new();
    while Instant::now() < until {
        let series = rng.random_range(1..4);
        for _ in 0..series {
            let fault = *FAULTS.choose(&mut rng).unwrap();
            let slot = rng.random_range(0..fleet.gateways.len());
            let replica = rng.random_range(0..fleet.replicas.len());
            let time = Duration::from_millis(rng.random_range(100..2_500));
            println!("{fault:?}, gateway {slot}, replica {replica}, {time:?}");
            running.spawn(apply(Arc::clone(fleet), fault, slot, replica, time));
        }
        let pause = Duration::from_millis(rng.random_range(50..1_200));
        tokio::time::sleep(pause).await;
    }
    while let Some(ended) = running.join_next().await {
        ended.unwrap();
    }
    fleet.store.set_access(AccessMode::Open);
    for replica in &fleet.replicas {
        replica.clear_replies();
    }
}

async fn apply(fleet: Arc<Fleet>, fault: Fault, slot: usize, replica: usize, time: Duration) {
    match fault {
        Fault::Terminate => terminate(&fleet, slot, time).await,
        Fault::Kill => kill(&fleet, slot, time).await,
        Fault::Freeze => freeze(&fleet, slot, time).await,
        Fault::Reload => signal(&fleet, slot, "HUP"),
        Fault::Publish => fleet.publish_config(),
        Fault::Store(access) => {
            fleet.store.set_access(access);
            tokio::time::sleep(time).await;
            fleet.store.set_access(AccessMode::Open);
        }
        Fault::StoreRestored => {
            let copy = fleet.store.copy();
            tokio::time::sleep(time).await;
            fleet.store.set_access(AccessMode::Reset);
            let lost = fleet.store.copy();
            fleet.store.restore(copy);
            fleet.store.set_access(AccessMode::Open);
            tokio::time::sleep(time / 8).await;
            lost.write_again(&fleet.store);
        }
        Fault::ReplicaLeaves => {
            let (replica, id) = (&fleet.replicas[replica], format!("i-{replica}"));
            replica.set_leaving(true);
            tokio::time::sleep(time).await;
            replica.set_leaving(false);
            let mut entry = replica.registry_entry("drafts", false);
            // Another incarnation under the same id.
            entry["born"] = (1_800_000_000_000 + time.as_millis() as u64).into();
            fleet.store.put("servers", &id, entry);
        }
        Fault::ReplicaPauses => fleet.replicas[replica].pause_until(Instant::now() + time),
        Fault::ReplicaFails => {
            let replies = [Reply::Close, Reply::Failure(500), Reply::Close];
            fleet.replicas[replica].queue_replies(replies);
        }
        Fault::ReplicaStalls => {
            let replies = std::iter::repeat_n(Reply::Hang, STALLED_REQUESTS);
            fleet.replicas[replica].queue_replies(replies);
        }
    }
}

/// Sends a signal to a gateway, if it runs.
fn signal(fleet: &Fleet, slot: usize, name: &str) {
    let mut daemon = fleet.gateway(slot);
    if let Some(daemon) = daemon.as_mut()
        && daemon.exit_status().is_none()
    {
        daemon.signal(name).unwrap();
    }
}

fn disturb(fleet: &Fleet, slot: usize, name: &str) {
    fleet.record(slot, |i| {
        i.disturbed.get_or_insert(Instant::now());
    });
    signal(fleet, slot, name);
}

async fn freeze(fleet: &Fleet, slot: usize, time: Duration) {
    disturb(fleet, slot, "STOP");
    tokio::time::sleep(time).await;
    signal(fleet, slot, "CONT");
}

async fn kill(fleet: &Fleet, slot: usize, time: Duration) {
    let replaces = fleet.begin_replacement(slot);
    disturb(fleet, slot, "KILL");
    if replaces {
        replace(fleet, slot, time).await;
    }
}

async fn terminate(fleet: &Fleet, slot: usize, time: Duration) {
    // A second signal ends the process at once.
    if !fleet.begin_replacement(slot) {
        return;
    }
    let asked = Instant::now();
    fleet.record(slot, |i| i.terminated = Some(asked));
    signal(fleet, slot, "TERM");
    replace(fleet, slot, time).await;
}

/// Waits for the end of the process, and starts another one some time later.
async fn replace(fleet: &Fleet, slot: usize, time: Duration) {
    let since = Instant::now();
    let status = loop {
        let status = fleet.gateway(slot).as_mut().and_then(Daemon::exit_status);
        if status.is_some() || since.elapsed() > DRAIN_LIMIT * 2 {
            break status;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    if !status.is_some_and(|s| s.success()) {
        let text = format!("{status:?}, {:?} after the signal", since.elapsed());
        fleet.record(slot, |i| i.bad_end = Some(text));
    }
    fleet.forget(slot);
    tokio::time::sleep(time).await;
    fleet.start_gateway(slot).await;
}
