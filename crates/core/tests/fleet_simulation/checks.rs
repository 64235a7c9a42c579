//! Guarantees of the fleet, checked on the state of the simulation.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Duration;

use eelgrasshold_core::config::{
    Config, HEAD_KEY, Head, Publication, PublishInput, PublishOutcome, PublishOutput, Team, join,
    shard_key,
};
use eelgrasshold_core::fleet::{
    Body, FleetMessage, MAX_CONFIG_MESSAGE_BYTES, MAX_PAGE_BYTES, Role, State,
};
use rand::Rng;

use super::platform::PlatformState;
use super::{Machine, Simulation};

/// Limit for the bytes that a node sends per second, averaged over a window.
pub const BYTES_PER_S: u64 = 3_000;
/// Time by which a seed must have started earlier than a host to know its previous revision.
const SEED_HEAD_START: Duration = Duration::from_secs(5);
/// Limit for messages other than configuration and pages of records.
const MAX_MESSAGE_BYTES: usize = 2_500;

/// Checks the guarantees for a configuration that came into force on a node:
///
/// - Within an incarnation, revisions only grow.
/// - No revision comes into force below the highest one that a message announced to this
///   incarnation, so a restarted host never falls behind a peer that has sent to it.
/// - If there were no faults since its start, a host doesn't fall behind its previous incarnation
///   as long as a seed has that revision.
/// - The configuration equals one that was published.
pub fn applied(sim: &Simulation, index: usize, config: &Config) {
    let node = &sim.nodes[index];
    let host = &node.settings.host;
    let current = node.in_force.as_ref().map_or(0, |c| c.revision);
    let revision = config.revision;
    assert!(
        revision > current,
        "{host} went from revision {current} to {revision}"
    );
    let received = node.highest_received_revision;
    assert!(
        revision >= received,
        "{host} applied revision {revision} after receiving revision {received}"
    );
    if current == 0 && sim.fault_free_since.is_some_and(|at| at < node.started_at) {
        let earlier = node.previous_revision;
        let seed_has_it = older_seed_has_revision(sim, index, earlier);
        let went_back = revision < earlier && seed_has_it;
        assert!(
            !went_back,
            "{host} started with revision {revision} after {earlier}"
        );
    }
    let published = sim.published.get(&revision);
    let is_published = published.is_some_and(|p| p.contains(config));
    assert!(
        is_published,
        "{host} applied a revision {revision} that nobody published"
    );
}

/// Whether a seed that started before the host has at least this revision in force.
fn older_seed_has_revision(sim: &Simulation, index: usize, revision: u64) -> bool {
    let started_at = sim.nodes[index].started_at;
    let seeds = sim.nodes.iter().take(3).enumerate();
    let older = seeds.filter(|(n, s)| *n != index && s.machine.is_some());
    let mut older = older.filter(|(_, s)| s.started_at + SEED_HEAD_START < started_at);
    older.any(|(_, s)| s.in_force.as_ref().is_some_and(|c| c.revision >= revision))
}

pub fn message_size(message: &FleetMessage, bytes: usize) {
    let limit = match &message.body {
        Body::Shards { .. } | Body::Head { .. } | Body::AskShards { .. } => {
            2 * MAX_CONFIG_MESSAGE_BYTES
        }
        Body::JoinPage { .. } | Body::Repair { .. } => MAX_PAGE_BYTES + MAX_MESSAGE_BYTES,
        _ => MAX_MESSAGE_BYTES,
    };
    assert!(bytes <= limit, "{} has {bytes} bytes", kind(message));
}

pub fn kind(message: &FleetMessage) -> &'static str {
    match &message.body {
        Body::Probe { .. } => "probe",
        Body::ProbeAck { .. } => "probe_ack",
        Body::ProbeIndirect { .. } => "probe_indirect",
        Body::Rumour { .. } => "rumour",
        Body::Join { .. } => "join",
        Body::JoinPage { .. } => "join_page",
        Body::Digest { .. } => "digest",
        Body::Summaries { .. } => "summaries",
        Body::Repair { .. } => "repair",
        Body::Heartbeat(_) => "heartbeat",
        Body::HeartbeatReply(_) => "heartbeat_reply",
        Body::AskHead => "ask_head",
        Body::Head { .. } => "head",
        Body::AskShards { .. } => "ask_shards",
        Body::Shards { .. } => "shards",
    }
}

/// Checks that each live entry host lists exactly the live processes in their actual state.
pub fn views(sim: &Simulation) -> Result<(), String> {
    let alive: BTreeSet<(String, bool)> = (0..sim.nodes.len())
        .filter(|i| sim.is_alive(*i))
        .map(|i| (sim.nodes[i].settings.host.clone(), sim.nodes[i].leaving))
        .collect();
    for node in &sim.nodes {
        let Some(Machine::Entry(machine)) = &node.machine else {
            continue;
        };
        let host = &node.settings.host;
        let listed: BTreeSet<(String, bool)> = machine
            .members()
            .into_iter()
            .filter(|m| m.reachable && m.record.state < State::Suspect)
            .map(|m| (m.record.host, m.record.leaving))
            .collect();
        let differing: Vec<_> = alive.symmetric_difference(&listed).collect();
        if !differing.is_empty() {
            let about = describe_views(sim, &differing[0].0);
            return Err(format!(
                "{host} lists members that differ from the live ones: {differing:?}; {about}"
            ));
        }
        check_outputs(sim, node)?;
    }
    Ok(())
}

/// Describes the record of a member on each live entry host, and the entry hosts that an upstream
/// process knows.
fn describe_views(sim: &Simulation, host: &str) -> String {
    let mut text = String::new();
    for node in &sim.nodes {
        let observer = &node.settings.host;
        match &node.machine {
            Some(Machine::Entry(m)) => {
                let found = m.record(host).map(|r| (r.state, r.incarnation, r.version));
                let _ = write!(text, "{observer} has {found:?} of {} ", m.members().len());
            }
            Some(Machine::Upstream(m)) if observer == host => {
                let peers: Vec<_> = m.peers().iter().map(|p| p.host.as_str()).collect();
                let _ = write!(text, "{observer} knows {peers:?} ");
            }
            _ => {}
        }
    }
    text
}

fn check_outputs(sim: &Simulation, node: &super::Node) -> Result<(), String> {
    let host = &node.settings.host;
    let upstreams: BTreeSet<(String, bool)> = (0..sim.nodes.len())
        .filter(|i| sim.is_alive(*i) && !sim.nodes[*i].is_entry)
        .map(|i| (sim.nodes[i].settings.host.clone(), sim.nodes[i].leaving))
        .collect();
    let given = node.upstreams.iter().map(|u| (u.host.clone(), u.leaving));
    let given: BTreeSet<_> = given.collect();
    if given != upstreams {
        return Err(format!(
            "{host} published upstreams {given:?} instead of {upstreams:?}"
        ));
    }
    let usable: BTreeSet<&str> = (0..sim.nodes.len())
        .filter(|i| sim.is_alive(*i) && sim.nodes[*i].is_entry && !sim.nodes[*i].leaving)
        .map(|i| sim.nodes[i].settings.host.as_str())
        .collect();
    let answered: BTreeSet<&str> = node.hosts.hosts.iter().map(|h| h.host.as_str()).collect();
    if !answered.is_subset(&usable) || answered.len() < usable.len().min(4) {
        return Err(format!(
            "{host} answers callers with {answered:?} of the usable {usable:?}"
        ));
    }
    Ok(())
}

/// Checks that each live process has this revision in force.
pub fn in_force_everywhere(sim: &Simulation, revision: u64) -> Result<(), String> {
    for node in sim.nodes.iter().filter(|n| n.machine.is_some()) {
        let present = node.in_force.as_ref().map_or(0, |c| c.revision);
        if present != revision {
            let host = &node.settings.host;
            return Err(format!(
                "{host} has revision {present} in force, not {revision}"
            ));
        }
    }
    Ok(())
}

/// Checks that no node exceeded its byte budget in any window so far.
pub fn budget(sim: &Simulation) {
    let limit = BYTES_PER_S * sim.window.as_secs();
    for node in &sim.nodes {
        let host = &node.settings.host;
        let peak = node.peak_window_bytes.max(node.window_bytes);
        assert!(
            peak <= limit,
            "{host} sent {peak} bytes in {:?}",
            sim.window
        );
    }
}

/// The configuration that the platform currently holds, if it is complete.
pub fn platform_config(sim: &Simulation) -> Option<Config> {
    let head = Head::from_bytes(sim.platform.value(HEAD_KEY)?).ok()?;
    let shards = head.shards.iter().filter_map(|h| {
        let content = sim.platform.value(&shard_key(h))?;
        Some((h.clone(), content.to_vec()))
    });
    join(&head, &shards.collect()).ok()
}

/// Runs `count` concurrent publications to completion. Returns the accepted revisions.
pub fn publish(sim: &mut Simulation, count: usize) -> Vec<u64> {
    let base = platform_config(sim).unwrap_or_default();
    let machines = sim.nodes.iter().filter_map(|n| n.machine.as_ref());
    let highest = machines.map(Machine::highest_revision).max().unwrap_or(0);
    let mut operators: Vec<(Publication, Config, Vec<PublishOutput>)> = Vec::new();
    for _ in 0..count {
        let mut next = base.clone();
        let team = format!("team-{}", sim.rng.random_range(0..50));
        let weight = sim.rng.random_range(1..1_000);
        let requests_per_s = None;
        next.teams.insert(
            team,
            Team {
                weight,
                requests_per_s,
            },
        );
        let number = sim.rng.random();
        let mut publication = Publication::new(base.clone(), next.clone(), number);
        let out = publication.handle(PublishInput::Start(highest));
        operators.push((publication, next, out));
    }
    let mut accepted = Vec::new();
    while !operators.is_empty() {
        let chosen = sim.rng.random_range(0..operators.len());
        let (publication, next, out) = &mut operators[chosen];
        match out.pop() {
            Some(PublishOutput::Platform { id, call }) => {
                // Recorded before the platform can return it to a node.
                if let eelgrasshold_core::platform::Call::Put { key, value, .. } = &call
                    && key == HEAD_KEY
                    && let Ok(head) = Head::from_bytes(value)
                {
                    let revision = head.revision;
                    let config = Config {
                        revision,
                        ..next.clone()
                    };
                    sim.published.entry(revision).or_default().push(config);
                }
                let random = sim.rng.random();
                let caller = (usize::MAX, 0, id);
                let reply = sim.platform.call(sim.now, caller, call, random);
                let reply = reply.expect("an operator never watches");
                *out = publication.handle(PublishInput::Reply { id, reply });
            }
            Some(PublishOutput::Done(outcome)) => {
                if let PublishOutcome::Accepted(revision) = outcome {
                    accepted.push(revision);
                }
                operators.remove(chosen);
            }
            None => panic!("a publication emitted no output"),
        }
    }
    // Of several operators with the same base only one may succeed, unless reads are stale.
    let consistent_reads = sim.platform.state != PlatformState::Stale;
    assert!(
        !consistent_reads || accepted.len() <= 1,
        "two concurrent publications were accepted: {accepted:?}"
    );
    accepted
}

/// Whether any entry host is running.
pub fn any_entry(sim: &Simulation) -> bool {
    let live = |n: &super::Node| n.is_entry && n.machine.is_some();
    sim.nodes.iter().any(live)
}

/// Role of a node, for failure messages.
pub fn role(sim: &Simulation, index: usize) -> Role {
    if sim.nodes[index].is_entry {
        Role::Entry
    } else {
        Role::Upstream
    }
}
