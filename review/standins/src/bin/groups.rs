//! Two groups of six ranks each, with a sidecar beside each rank. Two model replicas crash at the same
//! time and start again; the platform forms the groups anew, in the order in which replicas are back.
//! Judges whether a pass begins while ranks of a group have different maps.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use eelgrasshold_review::daemon::{self, Daemon};
use eelgrasshold_review::http::{self, Reader, Request};
use eelgrasshold_review::store::Store;
use eelgrasshold_review::{free_port, loopback, not_run, record, trouble, unix_ms};
use serde_json::{Value, json};

const GROUPS: usize = 2;
const SIZE: usize = 6;
const SETS: usize = 3;
const EXPERTS: usize = 24;
const PLACEMENTS: usize = 8;
const SPARE: usize = 4;
/// Time to copy one expert: 550 MB at 44,000 Mbit/s.
const EXPERT_MB: u64 = 550;
const COPY_TIME: Duration = Duration::from_millis(100);
const PASS_TIME: Duration = Duration::from_millis(60);
const FORM_TIME: Duration = Duration::from_millis(600);
/// When the two replicas crash, and for how long they are down.
const CRASH_AT: f64 = 15.0;
const DOWN_TIMES: [f64; 2] = [2.3, 2.0];
const CRASHED: [usize; 2] = [2, SIZE + 2];
const LENGTH: f64 = 50.0;

type Experts = Vec<Vec<usize>>;

/// A model replica: the engine of one machine.
struct Replica {
    id: String,
    born: u64,
    up: bool,
    /// Group and rank, once the platform has given it a place.
    place: Option<(usize, usize)>,
    map: u64,
    /// The whole map in use, as the order that prepared it gave it.
    content: Value,
    experts: Experts,
    prepared: Option<(u64, Value, Experts, Instant)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    highest: u64,
    counts: Vec<u64>,
    seq: u64,
}

struct Group {
    name: &'static str,
    epoch: u64,
    step: u64,
    open: bool,
    /// When the group opens, once all ranks are present.
    opens_at: Option<Instant>,
    passes: u64,
    switches: u64,
    mixed: u64,
}

struct World {
    replicas: Vec<Replica>,
    groups: Vec<Group>,
}

fn round_robin(rank: usize) -> Experts {
    vec![(rank..EXPERTS).step_by(SIZE).collect(); SETS]
}

impl Replica {
    fn restart(&mut self) {
        self.born = unix_ms();
        self.up = true;
        self.seq = 0;
        self.counts = vec![0; SETS * EXPERTS];
        self.place = None;
        self.clear(0);
    }

    fn clear(&mut self, rank: usize) {
        self.map = 0;
        self.content = Value::Null;
        self.experts = round_robin(rank);
        self.prepared = None;
        self.armed = None;
        self.held = None;
        self.highest = 0;
    }

    fn ready_version(&self) -> Option<u64> {
        let (version, _, _, at) = self.prepared.as_ref()?;
        (Instant::now() >= *at).then_some(*version)
    }
}

impl World {
    fn new() -> Self {
        let replica = |n: usize| {
            let mut replica = Replica {
                id: format!("i-{n:02}"),
                born: 0,
                up: true,
                place: None,
                map: 0,
                content: Value::Null,
                experts: Vec::new(),
                prepared: None,
                armed: None,
                held: None,
                highest: 0,
                counts: Vec::new(),
                seq: 0,
            };
            replica.restart();
            replica.clear(n % SIZE);
            replica.place = Some((n / SIZE, n % SIZE));
            replica
        };
        let group = |name| Group {
            name,
            epoch: 1,
            step: 0,
            open: true,
            opens_at: None,
            passes: 0,
            switches: 0,
            mixed: 0,
        };
        Self {
            replicas: (0..GROUPS * SIZE).map(replica).collect(),
            groups: vec![group("a"), group("b")],
        }
    }

    fn members(&self, group: usize) -> Vec<usize> {
        let of = |r: &Replica| r.place.filter(|p| p.0 == group).map(|p| p.1);
        let mut members: Vec<(usize, usize)> = self
            .replicas
            .iter()
            .enumerate()
            .filter_map(|(n, r)| Some((of(r)?, n)))
            .collect();
        members.sort_unstable();
        members.into_iter().map(|m| m.1).collect()
    }

    fn crash(&mut self, n: usize) {
        let replica = &mut self.replicas[n];
        replica.up = false;
        if let Some((group, rank)) = replica.place.take() {
            let group = &mut self.groups[group];
            group.open = false;
            group.opens_at = None;
            record::say(&format!(
                "replica {n} crashes; it was rank {rank} of group {}",
                group.name
            ));
        }
    }

    /// A replica is back: the first group that lacks a rank takes it.
    fn back(&mut self, n: usize) {
        self.replicas[n].restart();
        for group in 0..GROUPS {
            let members = self.members(group);
            let ranks: Vec<usize> = members
                .iter()
                .filter_map(|m| self.replicas[*m].place.map(|p| p.1))
                .collect();
            if let Some(rank) = (0..SIZE).find(|r| !ranks.contains(r)) {
                self.replicas[n].place = Some((group, rank));
                self.replicas[n].clear(rank);
                let name = self.groups[group].name;
                record::say(&format!(
                    "replica {n} is back; it is rank {rank} of group {name}"
                ));
                return;
            }
        }
    }

    /// Opens groups that are complete, and runs a pass of each open one.
    fn tick(&mut self, topic: usize) {
        for group in 0..GROUPS {
            let members = self.members(group);
            let complete = members.len() == SIZE;
            let state = &mut self.groups[group];
            if !state.open {
                if complete && state.opens_at.is_none() {
                    state.opens_at = Some(Instant::now() + FORM_TIME);
                }
                if state.opens_at.is_some_and(|at| Instant::now() >= at) {
                    state.open = true;
                    state.opens_at = None;
                    state.epoch += 1;
                    state.step = 0;
                    record::say(&format!(
                        "group {} opens in epoch {}",
                        state.name, state.epoch
                    ));
                    for (rank, n) in members.iter().enumerate() {
                        self.replicas[*n].clear(rank);
                    }
                }
                continue;
            }
            self.pass(group, &members, topic);
        }
    }

    fn pass(&mut self, group: usize, members: &[usize], topic: usize) {
        let next = self.groups[group].step + 1;
        if members.iter().any(|n| self.replicas[*n].held == Some(next)) {
            return;
        }
        let state = &mut self.groups[group];
        state.step = next;
        state.passes += 1;
        let mut switched = false;
        for n in members {
            let replica = &mut self.replicas[*n];
            if replica.armed.is_some_and(|a| a.1 == next) {
                replica.armed = None;
                if let Some((version, content, experts, _)) = replica.prepared.take() {
                    (replica.map, replica.content, replica.experts) = (version, content, experts);
                    switched = true;
                }
            }
            count(&mut replica.counts, topic);
        }
        state.switches += u64::from(switched);
        let first = &self.replicas[members[0]];
        let same = members.iter().all(|n| {
            let replica = &self.replicas[*n];
            replica.map == first.map && replica.content == first.content
        });
        let maps: Vec<u64> = members.iter().map(|n| self.replicas[*n].map).collect();
        let state = &mut self.groups[group];
        if switched {
            let (name, epoch) = (state.name, state.epoch);
            record::line(&format!(
                "group {name}, epoch {epoch}: pass {next} begins, maps {maps:?}"
            ));
        }
        if !same {
            if state.mixed == 0 {
                record::say(&format!(
                    "MAP broken: group {}, epoch {}, pass {next} begins with maps {maps:?}",
                    state.name, state.epoch
                ));
            }
            state.mixed += 1;
        }
    }

    fn report(&self, n: usize) -> Value {
        let replica = &self.replicas[n];
        let Some((group, rank)) = replica.place else {
            return json!({ "stage": "both", "models": [], "busy": false, "seq": replica.seq,
                "queued": 0, "active": 0, "kv_used": 0, "kv_total": 494_000, "handles": 0,
                "born": replica.born });
        };
        let group = &self.groups[group];
        let state = if group.open { "open" } else { "broken" };
        json!({
            "stage": "both", "models": [{ "name": "m", "version": 1, "adapters": [] }],
            "busy": false, "seq": replica.seq, "queued": 0, "active": 4, "kv_used": 41_000,
            "kv_total": 494_000, "handles": 0, "born": replica.born, "pace": 1.0,
            "group": { "name": group.name, "epoch": group.epoch, "rank": rank, "state": state },
            "size": SIZE, "step": group.step, "map": replica.map,
            "prepared": replica.ready_version(),
            "armed": replica.armed.map(|a| json!({ "version": a.0, "step": a.1 })),
            "held": replica.held,
        })
    }

    fn order(&mut self, n: usize, order: &Value) -> u16 {
        let Some((group, rank)) = self.replicas[n].place else {
            return 409;
        };
        let (open, epoch, step) = {
            let group = &self.groups[group];
            (group.open, group.epoch, group.step)
        };
        if !open || order["epoch"].as_u64().is_some_and(|e| e != epoch) {
            return 409;
        }
        let replica = &mut self.replicas[n];
        let version = order["version"].as_u64().unwrap_or(0);
        let pass = order["step"].as_u64().unwrap_or(0);
        let status = match order["op"].as_str() {
            Some("prepare") => {
                if replica.prepared.as_ref().is_some_and(|p| p.0 == version) {
                    return if replica.ready_version().is_some() {
                        200
                    } else {
                        202
                    };
                }
                if version <= replica.highest || replica.armed.is_some() {
                    return 409;
                }
                let map: Vec<Vec<Vec<usize>>> =
                    serde_json::from_value(order["map"].clone()).unwrap_or_default();
                let experts: Experts = map.iter().map(|set| set[rank].clone()).collect();
                let new = |s: &usize| {
                    let held = &replica.experts[*s];
                    experts[*s].iter().filter(|e| !held.contains(e)).count()
                };
                if map.len() != SETS
                    || experts.iter().any(|e| e.len() > PLACEMENTS)
                    || (0..SETS).any(|s| new(&s) > SPARE)
                {
                    return 409;
                }
                let copies: usize = (0..SETS).map(|s| new(&s)).sum();
                let ready = Instant::now() + COPY_TIME * copies as u32;
                replica.highest = version;
                replica.prepared = Some((version, order["map"].clone(), experts, ready));
                202
            }
            Some("arm") => {
                if replica.armed == Some((version, pass)) {
                    return 200;
                }
                if replica.ready_version() != Some(version) || pass <= step {
                    return 409;
                }
                replica.armed = Some((version, pass));
                200
            }
            Some("disarm") => {
                if replica.map == version {
                    return 409;
                }
                replica.armed.take_if(|a| a.0 == version);
                200
            }
            Some("hold") => {
                if replica.held == Some(pass) {
                    return 200;
                }
                if replica.held.is_some() || pass <= step {
                    return 409;
                }
                replica.held = Some(pass);
                200
            }
            Some("go") => {
                replica.held.take_if(|h| *h == pass);
                200
            }
            _ => 400,
        };
        if status < 300 {
            replica.seq += 1;
        }
        status
    }
}

/// Adds what the requests of a rank choose in a pass: a few experts take most of it.
fn count(counts: &mut [u64], topic: usize) {
    for set in 0..SETS {
        for expert in 0..EXPERTS {
            let liked = [0, 7, 13]
                .iter()
                .position(|o| (topic * 5 + set * 3 + o) % EXPERTS == expert);
            counts[set * EXPERTS + expert] += match liked {
                Some(0) => 400,
                Some(_) => 200,
                None => 20,
            };
        }
    }
}

fn answer(world: &Mutex<World>, n: usize, request: &Request) -> (u16, Value) {
    let mut world = world.lock().unwrap();
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/report") => (200, world.report(n)),
        ("GET", "/picked") => {
            let replica = &world.replicas[n];
            let group = replica.place.map(|p| &world.groups[p.0]);
            let (step, epoch) = group.map_or((0, 0), |g| (g.step, g.epoch));
            if request.query.contains("lists") {
                let map = json!({ "version": replica.map, "experts": replica.experts });
                return (
                    200,
                    json!({ "step": step, "epoch": epoch, "born": replica.born,
                    "map": map, "prepared": null }),
                );
            }
            (
                200,
                json!({ "step": step, "epoch": epoch, "born": replica.born,
                "counts": replica.counts }),
            )
        }
        ("POST", "/order") => {
            let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let status = world.order(n, &order);
            let place = world.replicas[n].place.map_or_else(String::new, |(g, r)| {
                format!(
                    "rank {r} of group {}, epoch {}",
                    world.groups[g].name, world.groups[g].epoch
                )
            });
            record::line(&format!(
                "order {} version {} step {} epoch {} to replica {n} ({place}): {status}",
                order["op"], order["version"], order["step"], order["epoch"]
            ));
            (status, json!({}))
        }
        _ => (404, Value::Null),
    }
}

fn serve(world: &Arc<Mutex<World>>, n: usize, address: SocketAddr) {
    let Ok(listener) = TcpListener::bind(address) else {
        not_run("a replica can't listen")
    };
    let world = Arc::clone(world);
    http::serve(listener, move |stream, _| {
        let born = world.lock().unwrap().replicas[n].born;
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        loop {
            let is_same = || {
                let world = world.lock().unwrap();
                world.replicas[n].up && world.replicas[n].born == born
            };
            // A crashed replica resets its channels.
            if !is_same() {
                return;
            }
            let Ok(Some(request)) = reader.request() else {
                return;
            };
            if !is_same() {
                return;
            }
            let (status, body) = answer(&world, n, &request);
            let extra = "Content-Type: application/json\r\n";
            if http::respond(&mut writer, status, extra, body.to_string().as_bytes()).is_err() {
                return;
            }
        }
    });
}

fn config() -> Value {
    json!({
        "version": 3,
        "routes": [],
        "services": [{
            "name": "scribe", "health_path": "/healthz", "max_conns": 268,
            "engine": {
                "slots": 12, "kv_capacity": 494_000, "stride": 6, "step_ms": 4.84, "per_seq_ms": 0.362,
                "context_per_k": 0.011, "read_per_s": 74_800.0, "chunk": 512,
                "usual": { "prompt": 840, "answer": 160 }, "report_lag_ms": 200.0, "delays": [],
                "sets": SETS, "experts": EXPERTS, "placements": PLACEMENTS, "spare": SPARE,
                "expert_mb": EXPERT_MB, "expert_share": 0.85, "link_mbps": 44_000.0,
                "form_ms": FORM_TIME.as_millis() as u64,
            },
        }],
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 6_000 },
        "tenants": [],
    })
}

fn main() {
    record::open(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| not_run("no path of a record")),
    );
    let swaps = std::env::var("SAME_PLACE").is_err();
    let ips: Vec<IpAddr> = (0..GROUPS * SIZE).map(|n| loopback(10 + n as u8)).collect();
    let (app, control, metrics) = (free_port(&ips), free_port(&ips), free_port(&ips));
    let store = Store::start();
    store.put("config", "main", config());
    let world = Arc::new(Mutex::new(World::new()));
    let entry = |n: usize| {
        let world = world.lock().unwrap();
        json!({ "service": "scribe", "addr": format!("{}:{app}", ips[n]), "zone": "macon",
            "version": "v1", "slots": 12, "state": "ready", "cold_left_ms": 0, "seq": 1,
            "born": world.replicas[n].born })
    };
    let mut sidecars = Vec::new();
    for (n, ip) in ips.iter().enumerate() {
        serve(&world, n, SocketAddr::new(*ip, app));
        let id = world.lock().unwrap().replicas[n].id.clone();
        store.put("servers", &id, entry(n));
    }
    for (n, ip) in ips.iter().enumerate() {
        let settings = json!({
            "role": "rank", "host": format!("side-{n:02}"), "region": "southeast",
            "data_centre": "macon", "control_address": format!("{ip}:{control}"),
            "platform_url": format!("http://{}", store.address),
            "metrics_address": format!("{ip}:{metrics}"), "first_start": true,
            "allow_plain_links": true, "rank": { "link_mbps": 20.0 },
            "engine": { "address": format!("{ip}:{app}"), "service": "scribe" },
        });
        sidecars.push(Daemon::start(&format!("side-{n:02}"), &settings));
    }
    record::say(&format!(
        "{} sidecars started, disruption: {}",
        sidecars.len(),
        trouble()
    ));
    let mut crashed = false;
    let mut returned = [false; 2];
    while record::seconds() < LENGTH {
        thread::sleep(PASS_TIME);
        let at = record::seconds();
        let mut world_now = world.lock().unwrap();
        if trouble() && !crashed && at >= CRASH_AT {
            crashed = true;
            CRASHED.iter().for_each(|n| world_now.crash(*n));
        }
        for (i, n) in CRASHED.iter().enumerate() {
            // With SAME_PLACE, the replicas return in the order that gives them their old places.
            let down = DOWN_TIMES[if swaps { i } else { 1 - i }];
            if crashed && !returned[i] && at >= CRASH_AT + down {
                returned[i] = true;
                world_now.back(*n);
                let id = world_now.replicas[*n].id.clone();
                drop(world_now);
                store.put("servers", &id, entry(*n));
                world_now = world.lock().unwrap();
            }
        }
        world_now.tick((at / 6.0) as usize);
    }
    let ended = sidecars.iter_mut().filter_map(Daemon::ended).count();
    drop(sidecars);
    daemon::end_all();
    let world = world.lock().unwrap();
    let mut mixed = 0;
    let mut switches = 0;
    for group in &world.groups {
        record::say(&format!(
            "group {}: {} passes, {} switches of the map, {} passes with different maps",
            group.name, group.passes, group.switches, group.mixed
        ));
        mixed += group.mixed;
        switches += group.switches;
    }
    if ended > 0 || switches == 0 {
        not_run(&format!("{ended} sidecars ended, {switches} switches"));
    }
    std::process::exit(i32::from(mixed > 0));
}
