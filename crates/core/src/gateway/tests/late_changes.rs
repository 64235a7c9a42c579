//! Simulation of the hosts of a fleet that follow the store, most of them through others, while channels
//! fall silent, hosts stand still or restart, and the store turns some of them away.
//!
//! It checks the sum of all steps: a change is in force at each host that is undisturbed within the time
//! that configurations have, and at each host that was disturbed at the end of the settle time.
//!
//! Evacuations have fewer watchers, no gossip of versions, and a time limit of their own, which holds
//! also while channels fall silent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::ms;
use crate::gateway::follow::{FollowUpdate, Follower, watch_wait};
use crate::gateway::mirror::{Mirror, Reach};
use crate::gateway::peers::{PeerRecord, PeerState};
use crate::gateway::sources::{
    EVACUATION_WATCHERS, Source, Sources, WATCHERS, WatchPlan, watchers,
};
use crate::platform::{Change, KindCall, KindReply, StoredObject, Version};
use crate::types::Now;

const KIND: &str = "config";
const TICK: Duration = ms(5);
const LATENCY: Duration = ms(10);
/// Time limits of the calls, as the driver has them.
const LIST_TIMEOUT: Duration = ms(1_200);
const WATCH_MARGIN: Duration = ms(700);
const COPY_WAIT: Duration = ms(1_000);
const COPY_MARGIN: Duration = ms(400);
const FIRST_WATCH_TIMEOUT: Duration = ms(700);
const CONNECT_TIMEOUT: Duration = ms(400);
const STORE_IDLE_TIMEOUT: Duration = ms(1_000);
const SOURCE_POLL_INTERVAL: Duration = ms(200);
/// Gossip: a round, the hosts that it reaches, and the time for which another host is ahead before a pull.
const ROUND: Duration = ms(500);
const FANOUT: usize = 3;
const DATAGRAM_LOSS: f64 = 0.03;
const PULL_DELAY: Duration = ms(900);
/// Time after which a silent host is no member.
const MEMBER_TIMEOUT: Duration = ms(3_000);
/// When the faults and changes begin, and when the simulation ends after the last of them.
const CALM: Duration = ms(6_000);

/// How a kind of objects is followed, and what must hold for it.
#[derive(Clone, Debug)]
struct Rules {
    plan: WatchPlan,
    /// Whether gossip tells of versions, so that hosts that are behind pull from others.
    gossips: bool,
    settle_time: Duration,
    /// Time after a change at which it is in force at all undisturbed hosts.
    apply_time: Duration,
    /// Whether hosts whose channels fell silent have the settle time from then on.
    allows_for_silence: bool,
}

impl Rules {
    fn of_configurations(settle_time: Duration) -> Self {
        Self {
            plan: WatchPlan::default(),
            gossips: true,
            settle_time,
            apply_time: settle_time.saturating_sub(ms(1_000)),
            allows_for_silence: true,
        }
    }

    fn of_evacuations() -> Self {
        Self {
            plan: WatchPlan::of_evacuations(),
            gossips: false,
            settle_time: ms(4_000),
            apply_time: ms(5_000),
            allows_for_silence: false,
        }
    }
}

fn record(n: usize, places: usize) -> PeerRecord {
    let port = 7_000 + u16::try_from(n).unwrap();
    let address = SocketAddr::from(([10, 1, 0, 1], port));
    PeerRecord {
        host: format!("edge-{n}"),
        incarnation: 1,
        version: 0,
        region: "north".into(),
        data_centre: format!("north-{}", n % places),
        callers: address,
        peers: address,
        state: PeerState::Ready,
    }
}

fn object(version: Version) -> StoredObject {
    StoredObject {
        name: "main".into(),
        version,
        value: Vec::new(),
    }
}

/// Which channels fall silent: of those that are open, also to replies that are on the way.
#[derive(Clone, Copy, Debug)]
struct Silence {
    at: Now,
    between_hosts: bool,
}

#[derive(Clone, Copy, Debug)]
enum HostFault {
    /// It stands still for this time, its channels stay open.
    Freeze(Duration),
    /// It is ended and starts again after this time.
    Restart(Duration),
    /// It is cut off from the store for this time; channels of before stay silent.
    Cut(Duration),
}

/// A time in which the store refuses the calls of some hosts.
#[derive(Clone, Debug)]
struct Refusal {
    from: Now,
    until: Now,
    hosts: BTreeSet<usize>,
}

#[derive(Clone, Debug, Default)]
struct Faults {
    silences: Vec<Silence>,
    hosts: Vec<(Now, usize, HostFault)>,
    refusals: Vec<Refusal>,
    changes: Vec<Now>,
}

#[derive(Clone, Debug)]
struct Call {
    source: Source,
    request: KindCall,
    began: Now,
    channel_opened: Now,
    limit: Now,
    reply: Option<(Now, KindReply)>,
}

struct Node {
    follower: Follower,
    sources: Sources,
    mirror: Mirror,
    reach: Reach,
    known: Version,
    /// Newest version that gossip told of.
    heard: Version,
    behind_since: Option<Now>,
    /// Version of the last datagrams, and when some were last sent between rounds.
    told: Version,
    told_at: Now,
    times_behind: u64,
    seen_behind: u64,
    /// End of the last fault of this host.
    disturbed_at: Now,
    down_until: Now,
    down_since: Now,
    cut_until: Now,
    /// When the channel to the store was opened, and last in use.
    store_channel: Option<(Now, Now)>,
    host_channel: Option<(SocketAddr, Now)>,
    call: Option<Call>,
    next_call_at: Now,
    failing: bool,
}

impl Node {
    fn new(now: Now, first_start: bool, rules: &Rules, seed: u64) -> Self {
        Self {
            follower: Follower::new(KIND, watch_wait(rules.settle_time), seed),
            sources: Sources::new(now, first_start, seed)
                .with_settle_time(rules.settle_time)
                .with_plan(rules.plan.clone()),
            mirror: Mirror::default(),
            reach: Reach::default(),
            known: 0,
            heard: 0,
            behind_since: None,
            told: 0,
            told_at: now,
            times_behind: 0,
            seen_behind: 0,
            disturbed_at: now,
            down_until: now,
            down_since: now,
            cut_until: Now::ZERO,
            store_channel: None,
            host_channel: None,
            call: None,
            next_call_at: now,
            failing: false,
        }
    }

    fn apply(&mut self, update: &FollowUpdate, direct: bool, may_doubt: bool) {
        self.mirror.apply(KIND, update);
        self.reach = self.reach.after(update, direct, may_doubt);
        self.failing = matches!(update, FollowUpdate::Failed { .. });
        let versions: Vec<Version> = match update {
            FollowUpdate::All(objects, _) => objects.iter().map(|o| o.version).collect(),
            FollowUpdate::Changes(changes, _) => {
                let set = changes.iter().filter_map(|c| match c {
                    Change::Set(object) => Some(object.version),
                    Change::Deleted(_) => None,
                });
                set.collect()
            }
            _ => Vec::new(),
        };
        self.known = versions.into_iter().fold(self.known, Version::max);
    }
}

/// A change that was in force too late, at a host and by a time.
type Late = (usize, Duration);

struct Fleet {
    now: Now,
    rules: Rules,
    records: Vec<PeerRecord>,
    nodes: Vec<Node>,
    faults: Faults,
    rng: SmallRng,
    /// Longest time beyond its limit for which a host did not have a change.
    latest: Option<Late>,
    store_calls: usize,
    most_watches: usize,
}

impl Fleet {
    fn new(size: usize, rules: Rules, faults: Faults, seed: u64) -> Self {
        let node = |n| Node::new(Now::ZERO, true, &rules, seed * 1_000 + n as u64);
        let nodes = (0..size).map(node).collect();
        Self {
            now: Now::ZERO,
            rules,
            records: (0..size).map(|n| record(n, 3)).collect(),
            nodes,
            faults,
            rng: SmallRng::seed_from_u64(seed),
            latest: None,
            store_calls: 0,
            most_watches: 0,
        }
    }

    /// Revision of the store: 1 and one more for each change.
    fn revision(&self, now: Now) -> Version {
        1 + self.faults.changes.iter().filter(|at| **at <= now).count() as Version
    }

    fn is_silent(&self, opened: Now, now: Now, store: bool) -> bool {
        let silences = self.faults.silences.iter();
        let mut silences = silences.filter(|s| store || s.between_hosts);
        silences.any(|s| opened < s.at && s.at <= now)
    }

    fn is_down(&self, n: usize, now: Now) -> bool {
        now < self.nodes[n].down_until
    }

    fn run(&mut self, until: Now) {
        while self.now < until {
            let now = self.now;
            self.begin_faults(now);
            for n in 0..self.nodes.len() {
                if !self.is_down(n, now) {
                    self.step(n, now);
                    self.gossip(n, now);
                }
            }
            let at_store = |c: &Call| {
                matches!(
                    (&c.source, &c.request),
                    (Source::Store, KindCall::Watch { .. })
                )
            };
            let watches = self
                .nodes
                .iter()
                .filter(|n| n.call.as_ref().is_some_and(at_store));
            self.most_watches = self.most_watches.max(watches.count());
            self.check(now);
            self.now += TICK;
        }
    }

    fn begin_faults(&mut self, now: Now) {
        let due: Vec<_> = {
            let faults = self.faults.hosts.iter();
            faults.filter(|(at, ..)| *at == now).copied().collect()
        };
        for (_, n, fault) in due {
            let (HostFault::Freeze(time) | HostFault::Restart(time) | HostFault::Cut(time)) = fault;
            if matches!(fault, HostFault::Restart(_)) {
                let seed = self.rng.random();
                self.nodes[n] = Node::new(now + time, false, &self.rules, seed);
            }
            let node = &mut self.nodes[n];
            node.disturbed_at = now + time;
            if matches!(fault, HostFault::Cut(_)) {
                node.cut_until = now + time;
            } else {
                node.down_since = now;
                node.down_until = now + time;
            }
        }
    }

    /// Reply to a call, once there is one.
    fn reply(&self, n: usize, call: &Call, now: Now) -> Option<KindReply> {
        let failed = |reason: &str| {
            let reason = reason.to_owned();
            Some(KindReply::Failed { reason })
        };
        let unchanged = |after| KindReply::Changes {
            changes: Vec::new(),
            revision: after,
        };
        match call.source {
            Source::Store => {
                if call.channel_opened < self.nodes[n].cut_until {
                    return None;
                }
                let refuses = |r: &&Refusal| r.from <= now && now < r.until && r.hosts.contains(&n);
                if self.faults.refusals.iter().find(refuses).is_some() {
                    return failed("refused");
                }
                let revision = self.revision(now);
                match &call.request {
                    KindCall::List { .. } => Some(KindReply::Items {
                        items: vec![object(revision)],
                        more: false,
                        revision,
                    }),
                    KindCall::Watch { after, .. } if revision > *after => {
                        let changes = vec![Change::Set(object(revision))];
                        Some(KindReply::Changes { changes, revision })
                    }
                    KindCall::Watch { after, wait, .. } => {
                        (now >= call.began + *wait).then(|| unchanged(*after))
                    }
                }
            }
            Source::Host(address) => {
                let host = self.records.iter().position(|r| r.peers == address)?;
                if self.is_down(host, now) {
                    return None;
                }
                let other = &self.nodes[host];
                let wait = match &call.request {
                    KindCall::Watch { wait, .. } => COPY_WAIT.min(*wait),
                    KindCall::List { .. } => COPY_WAIT,
                };
                let over = now >= call.began + wait;
                match other.reach {
                    Reach::Lost => failed("lost"),
                    Reach::InDoubt if now >= call.began + COPY_WAIT => failed("in doubt"),
                    Reach::InDoubt => None,
                    Reach::Direct => other.mirror.answer(&call.request).or_else(|| {
                        let after = match &call.request {
                            KindCall::Watch { after, .. } => *after,
                            KindCall::List { .. } => 0,
                        };
                        let known = other.mirror.revision(KIND).unwrap_or_default();
                        over.then(|| unchanged(known.max(after)))
                    }),
                }
            }
            Source::NoneUntil(_) => None,
        }
    }

    fn step(&mut self, n: usize, now: Now) {
        let Some(mut call) = self.nodes[n].call.take() else {
            if now >= self.nodes[n].next_call_at {
                self.begin_call(n, now);
            }
            return;
        };
        let at_store = call.source == Source::Store;
        let is_silent = self.is_silent(call.channel_opened, now, at_store);
        if is_silent {
            call.reply = None;
        } else if call.reply.is_none() {
            let reply = self.reply(n, &call, now);
            call.reply = reply.map(|r| (now + LATENCY, r));
        }
        match call.reply {
            Some((at, ref reply)) if now >= at => self.end_call(n, now, call.source, reply.clone()),
            _ if now >= call.limit => {
                // Later calls are made on new channels.
                if at_store {
                    self.nodes[n].store_channel = None;
                } else {
                    self.nodes[n].host_channel = None;
                }
                let reason = "no answer".to_owned();
                self.end_call(n, now, call.source, KindReply::Failed { reason });
            }
            _ => self.nodes[n].call = Some(call),
        }
    }

    fn begin_call(&mut self, n: usize, now: Now) {
        let is_member = |k: usize, node: &Node| {
            k == n || now >= node.down_until || now < node.down_since + MEMBER_TIMEOUT
        };
        let members: Vec<&PeerRecord> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(k, node)| is_member(*k, node))
            .map(|(k, _)| &self.records[k])
            .collect();
        let node = &mut self.nodes[n];
        let source = node.sources.choose(now, &self.records[n], &members);
        let (at, call) = node.follower.next();
        match source {
            Source::Store if now < at => {
                // The driver waits for the delay of the follower once it has chosen the store.
                node.next_call_at = at;
            }
            Source::Store => {
                node.follower.record_call(now);
                let (_, call) = node.follower.next();
                node.host_channel = None;
                let kept = node.store_channel;
                let kept = kept.filter(|(_, used_at)| now < *used_at + STORE_IDLE_TIMEOUT);
                let opened = kept.map_or(now, |(opened, _)| opened);
                node.store_channel = Some((opened, now));
                let limit = match &call {
                    KindCall::Watch { wait, .. } => *wait + WATCH_MARGIN,
                    KindCall::List { .. } => LIST_TIMEOUT,
                };
                node.call = Some(Call {
                    source,
                    request: call,
                    began: now,
                    channel_opened: opened,
                    limit: now + limit,
                    reply: None,
                });
                self.store_calls += 1;
            }
            Source::Host(address) => {
                let opened = node.host_channel.filter(|(to, _)| *to == address);
                let opened = opened.map_or(now, |(_, at)| at);
                node.host_channel = Some((address, opened));
                let is_new = opened == now;
                let (call, limit) = match call {
                    // The first watch on a link is answered at once.
                    KindCall::Watch { kind, after, .. } if is_new => {
                        let wait = Duration::ZERO;
                        (KindCall::Watch { kind, after, wait }, FIRST_WATCH_TIMEOUT)
                    }
                    call => (call, COPY_WAIT + COPY_MARGIN),
                };
                let limit = if is_new {
                    limit + CONNECT_TIMEOUT
                } else {
                    limit
                };
                node.call = Some(Call {
                    source,
                    request: call,
                    began: now,
                    channel_opened: opened,
                    limit: now + limit,
                    reply: None,
                });
            }
            Source::NoneUntil(at) => {
                node.next_call_at = at.min(now + SOURCE_POLL_INTERVAL).max(now + TICK);
                if node.sources.is_without() && !node.failing {
                    let reason = "no source".to_owned();
                    node.apply(&FollowUpdate::Failed { reason }, false, true);
                }
            }
        }
    }

    fn end_call(&mut self, n: usize, now: Now, source: Source, reply: KindReply) {
        let may_doubt = self.rules.plan.holds_calls_in_doubt;
        let node = &mut self.nodes[n];
        node.next_call_at = now;
        if source == Source::Store {
            node.store_channel = node.store_channel.map(|(opened, _)| (opened, now));
            let update = node.follower.handle_reply(now, reply);
            match &update {
                Some(FollowUpdate::Failed { .. }) => node.sources.failed(now, source),
                _ => node.sources.answered(),
            }
            if let Some(update) = update {
                node.apply(&update, true, may_doubt);
            }
            return;
        }
        let failed = matches!(reply, KindReply::Failed { .. }) || node.follower.is_outdated(&reply);
        let update = if failed {
            None
        } else {
            node.follower.handle_reply(now, reply)
        };
        if update.is_none() || node.times_behind != node.seen_behind {
            node.sources.failed(now, source);
        } else {
            node.sources.answered();
        }
        node.seen_behind = node.times_behind;
        if let Some(update) = update {
            node.apply(&update, false, true);
        }
    }

    fn gossip(&mut self, n: usize, now: Now) {
        if !self.rules.gossips {
            return;
        }
        let phase = u32::try_from(n % 100).unwrap() * TICK;
        let running = now.saturating_sub(phase).as_millis();
        let is_round = running.is_multiple_of(ROUND.as_millis());
        let node = &mut self.nodes[n];
        let is_news = node.known > node.told && now >= node.told_at + ROUND;
        if is_round || is_news {
            if is_news {
                node.told_at = now;
            }
            node.told = node.known;
            self.tell(n, now);
        }
        let node = &mut self.nodes[n];
        if node.heard <= node.known {
            node.behind_since = None;
            return;
        }
        let since = *node.behind_since.get_or_insert(now);
        if now.saturating_sub(since) >= PULL_DELAY || (is_round && node.known == 0) {
            node.behind_since = Some(now);
            node.known = node.heard;
            node.reach = Reach::Lost;
            node.times_behind += 1;
        }
    }

    /// Tells a few hosts of the version that a host knows; some datagrams are lost.
    fn tell(&mut self, n: usize, now: Now) {
        let known = self.nodes[n].known;
        let others: Vec<usize> = (0..self.nodes.len()).filter(|k| *k != n).collect();
        let told = others.choose_multiple(&mut self.rng, FANOUT);
        for other in told.copied().collect::<Vec<_>>() {
            if !self.is_down(other, now) && !self.rng.random_bool(DATAGRAM_LOSS) {
                self.nodes[other].heard = self.nodes[other].heard.max(known);
            }
        }
    }

    /// Until when the host that knows `known` must have the first change that it lacks.
    fn limit(&self, n: usize, known: Version) -> Option<Now> {
        let first_missed = usize::try_from(known.max(1) - 1).unwrap();
        let changed_at = *self.faults.changes.get(first_missed)?;
        let silences = self.faults.silences.iter();
        let silences = silences.filter(|_| self.rules.allows_for_silence);
        let silent_at = silences.map(|s| s.at);
        let disturbed_at = silent_at.fold(self.nodes[n].disturbed_at, Now::max);
        Some((changed_at + self.rules.apply_time).max(disturbed_at + self.rules.settle_time))
    }

    fn check(&mut self, now: Now) {
        // While the store is impaired, no host is held to the limit.
        let refuses = |r: &Refusal| r.from <= now && now < r.until + self.rules.settle_time;
        if self.faults.refusals.iter().any(refuses) {
            return;
        }
        let up = (0..self.nodes.len()).filter(|n| !self.is_down(*n, now));
        let late = up.filter_map(|host| {
            let limit = self.limit(host, self.nodes[host].known)?;
            let by = now.checked_sub(limit).filter(|by| *by > TICK)?;
            (self.faults.changes.iter().any(|at| *at <= now)).then_some((host, by))
        });
        let late = late.max_by_key(|late| late.1);
        if let Some(late) = late
            && self.latest.as_ref().is_none_or(|l| l.1 < late.1)
        {
            self.latest = Some(late);
        }
    }
}

/// Times of the simulation are multiples of [`TICK`].
fn at(rng: &mut SmallRng, from: u64, to: u64) -> Now {
    ms(rng.random_range(from / 5..to / 5) * 5)
}

/// A series of changes that begins at a time.
fn series(rng: &mut SmallRng, from: Now) -> Vec<Now> {
    let mut changes = vec![from];
    for _ in 0..rng.random_range(0..12) {
        let gap = at(rng, 50, 900);
        changes.push(changes[changes.len() - 1] + gap);
    }
    changes
}

/// Plays a fleet and returns the latest change, with the calls to the store and the most watches there.
fn play(size: usize, rules: &Rules, faults: Faults, seed: u64) -> (Option<Late>, usize, usize) {
    let last = faults.changes.iter().max().copied().unwrap_or(CALM);
    let last = faults.silences.iter().fold(last, |l, s| l.max(s.at));
    let last = faults.refusals.iter().fold(last, |l, r| l.max(r.until));
    let hosts = faults.hosts.iter().map(|(at, _, fault)| {
        let (HostFault::Freeze(time) | HostFault::Restart(time) | HostFault::Cut(time)) = fault;
        *at + *time
    });
    let last = hosts.fold(last, Now::max);
    let mut fleet = Fleet::new(size, rules.clone(), faults, seed);
    fleet.run(last + rules.settle_time + ms(3_000));
    (fleet.latest, fleet.store_calls, fleet.most_watches)
}

/// Sizes and settle times of fleets: all hosts watch the store in the first, and few in the last.
const FLEETS: [(usize, Duration); 4] = [
    (7, ms(3_000)),
    (24, ms(3_000)),
    (46, ms(4_000)),
    (149, ms(5_000)),
];

/// The hosts that watch the store while all live.
fn watching(size: usize, count: usize) -> BTreeSet<usize> {
    let records: Vec<PeerRecord> = (0..size).map(|n| record(n, 3)).collect();
    let members: Vec<&PeerRecord> = records.iter().collect();
    let watching = watchers(&records[0], &members, count);
    let is_watching = |n: &usize| watching.iter().any(|w| w.host == records[*n].host);
    (0..size).filter(is_watching).collect()
}

/// Plays the seeds below `seeds`, or below `EELGRASSHOLD_FUZZ_CASES`.
fn assert_in_time(name: &str, seeds: u64, draw: impl Fn(&mut SmallRng, usize) -> Faults) {
    let fleets = FLEETS.map(|(size, settle_time)| (size, Rules::of_configurations(settle_time)));
    assert_all_in_time(name, &fleets, seeds, draw);
}

/// The same for evacuations.
fn assert_evacuated_in_time(name: &str, seeds: u64, draw: impl Fn(&mut SmallRng, usize) -> Faults) {
    let fleets = [7, 19, 33, 149].map(|size| (size, Rules::of_evacuations()));
    assert_all_in_time(name, &fleets, seeds, draw);
}

fn assert_all_in_time(
    name: &str,
    fleets: &[(usize, Rules)],
    seeds: u64,
    draw: impl Fn(&mut SmallRng, usize) -> Faults,
) {
    let cases = std::env::var("EELGRASSHOLD_FUZZ_CASES").ok();
    let seeds = cases.and_then(|c| c.parse().ok()).unwrap_or(seeds);
    let mut failures = Vec::new();
    for (size, rules) in fleets {
        for seed in 0..seeds {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut faults = draw(&mut rng, *size);
            faults.changes.sort_unstable();
            let (late, ..) = play(*size, rules, faults.clone(), seed);
            if let Some(late) = late {
                failures.push(format!("{size} hosts, seed {seed}: {late:?}"));
            }
        }
    }
    let count = failures.len();
    assert!(
        count == 0,
        "{name}: {count} of {}: {failures:#?}",
        seeds * fleets.len() as u64
    );
}

// Guards against steps that are bounded each and late in sum: a delayed watch, its time limit, followers
// that leave hosts which are about to recover.
#[test]
fn changes_are_in_force_in_time_when_all_channels_fall_silent_at_any_moment() {
    assert_in_time("silence", 25, |rng, _| {
        let changes = series(rng, CALM);
        let last = changes[changes.len() - 1].as_millis();
        let until = u64::try_from(last).unwrap() + 800;
        let mut faults = Faults {
            changes,
            ..Faults::default()
        };
        for _ in 0..rng.random_range(1..=2) {
            let silent_at = at(rng, 5_500, until);
            let between_hosts = rng.random();
            faults.silences.push(Silence {
                at: silent_at,
                between_hosts,
            });
            faults.changes.push(silent_at + at(rng, 100, 2_500));
        }
        faults
    });
}

// Guards against hosts that are late since those that they follow stand still or restart.
#[test]
fn changes_are_in_force_in_time_when_hosts_freeze_and_restart() {
    assert_in_time("hosts", 15, |rng, size| {
        let changes = series(rng, CALM);
        let mut faults = Faults {
            changes,
            ..Faults::default()
        };
        for _ in 0..size / 5 {
            let n = rng.random_range(0..size);
            let begins = at(rng, 5_000, 10_000);
            let time = at(rng, 500, 4_000);
            let fault = if rng.random() {
                HostFault::Freeze(time)
            } else {
                HostFault::Restart(time)
            };
            let known = faults.hosts.iter().any(|(_, k, _)| *k == n);
            if !known {
                faults.hosts.push((begins, n, fault));
            }
        }
        if rng.random() {
            faults.silences.push(Silence {
                at: at(rng, 5_500, 9_000),
                between_hosts: true,
            });
        }
        faults
    });
}

// Guards against hosts that are late since those that they follow are cut off from the store.
#[test]
fn changes_are_in_force_in_time_when_hosts_that_watch_the_store_are_cut_off_from_it() {
    assert_in_time("cuts", 25, |rng, size| {
        let mut faults = Faults {
            changes: series(rng, CALM),
            ..Faults::default()
        };
        for n in watching(size, WATCHERS) {
            if rng.random_bool(0.4) {
                let begins = at(rng, 5_000, 9_000);
                let cut = HostFault::Cut(at(rng, 500, 4_000));
                faults.hosts.push((begins, n, cut));
            }
        }
        faults
    });
}

// Guards against hosts that are late after the store turned away those that watch it.
#[test]
fn changes_are_in_force_in_time_after_the_store_has_turned_hosts_away() {
    assert_in_time("refusals", 15, |rng, size| refused(rng, size, WATCHERS));
}

/// Changes after the store has turned away the hosts that watch it, or all hosts.
fn refused(rng: &mut SmallRng, size: usize, watchers: usize) -> Faults {
    let changes = series(rng, CALM);
    let from = at(rng, 5_000, 8_000);
    let until = from + at(rng, 500, 6_000);
    let all = rng.random_bool(0.3);
    let watching = watching(size, watchers);
    let hosts = (0..size).filter(|n| all || watching.contains(n));
    let mut faults = Faults {
        refusals: vec![Refusal {
            from,
            until,
            hosts: hosts.collect(),
        }],
        changes,
        ..Faults::default()
    };
    faults.changes.push(until + at(rng, 0, 1_500));
    if rng.random() {
        faults.silences.push(Silence {
            at: until + at(rng, 0, 1_000),
            between_hosts: rng.random(),
        });
    }
    faults
}

// Guards against a watch of each host at the store, and against calls that grow with the fleet.
#[test]
fn a_silence_costs_few_calls_and_no_watch_of_each_host() {
    let rules = Rules::of_configurations(ms(4_000));
    for seed in 0..5 {
        let silence = Silence {
            at: ms(8_000),
            between_hosts: true,
        };
        let faults = Faults {
            silences: vec![silence],
            changes: vec![ms(8_500)],
            ..Faults::default()
        };
        let calm = Faults {
            changes: vec![ms(8_500)],
            ..Faults::default()
        };
        let (late, calls, watches) = play(380, &rules, faults, seed);
        let (_, calm_calls, _) = play(380, &rules, calm, seed);
        assert!(late.is_none(), "{late:?}");
        assert!(watches <= 20, "{watches} watches");
        assert!(
            calls <= calm_calls + 40,
            "{calls} calls, {calm_calls} without it"
        );
    }
}

// Guards against requests to an evacuated data centre since a change is lost with its channel, at a watcher
// or at hosts that follow one.
#[test]
fn evacuations_are_in_force_in_time_when_channels_fall_silent() {
    assert_evacuated_in_time("evacuations, silence", 25, |rng, _| {
        let changes = (0..2).map(|_| CALM + at(rng, 0, 4_000)).collect();
        let silence = |_| Silence {
            at: at(rng, 5_000, 11_000),
            between_hosts: rng.random(),
        };
        Faults {
            silences: (0..2).map(silence).collect(),
            changes,
            ..Faults::default()
        }
    });
}

// Guards against hosts that wait for three watchers one after the other while all of them stand still, are
// cut off from the store, or restart, and against hosts that all start without the list.
#[test]
fn evacuations_are_in_force_in_time_when_all_watchers_or_all_hosts_fail() {
    assert_evacuated_in_time("evacuations, hosts", 40, |rng, size| {
        let mut faults = Faults {
            changes: (0..2).map(|_| CALM + at(rng, 0, 4_000)).collect(),
            ..Faults::default()
        };
        let (from, kind) = (at(rng, 5_000, 9_000), rng.random_range(0..4));
        let watchers = watching(size, EVACUATION_WATCHERS);
        for n in (0..size).filter(|n| kind == 3 || watchers.contains(n)) {
            let time = at(rng, 500, 8_000);
            let fault = match kind {
                0 => HostFault::Freeze(time),
                1 => HostFault::Cut(time),
                2 => HostFault::Restart(time),
                _ => HostFault::Restart(at(rng, 200, 1_500)),
            };
            let begins = from + at(rng, 0, 1_500);
            faults.hosts.push((begins, n, fault));
        }
        faults
    });
}

// Guards against hosts that are late after the store has turned away its watchers.
#[test]
fn evacuations_are_in_force_in_time_after_the_store_has_turned_watchers_away() {
    let draw = |rng: &mut SmallRng, size| refused(rng, size, EVACUATION_WATCHERS);
    assert_evacuated_in_time("evacuations, refusals", 15, draw);
}

/// Calls of 33 hosts to the store in 20 s, for a kind with changes at these times.
fn calls(rules: Rules, changes: Vec<Now>) -> usize {
    let faults = Faults {
        changes,
        ..Faults::default()
    };
    let mut fleet = Fleet::new(33, rules, faults, 1);
    fleet.run(CALM);
    let before = fleet.store_calls;
    fleet.run(CALM + ms(20_000));
    fleet.store_calls - before
}

// Guards against a third kind of objects that adds more than a tenth to the calls to the store. The entries of
// 63 upstreams are written every 1.2 s each.
#[test]
fn watching_evacuations_adds_less_than_a_tenth_of_the_calls() {
    let rules = Rules::of_configurations(ms(4_000));
    let entries = (0..1_000).map(|n| CALM + ms(n * 20)).collect();
    let today = calls(rules.clone(), Vec::new()) + calls(rules, entries);
    let added = calls(Rules::of_evacuations(), Vec::new());
    assert!(added > 0 && added * 10 <= today, "{added} beside {today}");
}
