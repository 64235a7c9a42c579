//! Five groups of four ranks, the platform's store, the sidecars of the ranks, and callers of the first group.
//!
//! Two sidecars of the first group are killed, each right after it has held a pass. The replicas serve a request
//! with the next three passes of their group; the callers call them directly.

#[allow(dead_code)]
#[path = "http.rs"]
mod http;
#[allow(dead_code)]
#[path = "json.rs"]
mod json;
#[allow(dead_code)]
#[path = "place.rs"]
mod place;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{Request, Server};
use json::Json;
use place::{Place, Process};

const GROUPS: usize = 5;
const SIZE: usize = 4;
const SERVICES: [&str; GROUPS] = ["scribe", "teller", "clerk", "broker", "usher"];
const SETS: usize = 2;
const EXPERTS: usize = 16;
const PLACEMENTS: usize = 7;
const SPARE: usize = 4;
const EXPERT_MB: f64 = 2_200.0;
const LINK_MBPS: f64 = 44_000.0;
const FORM: Duration = Duration::from_millis(600);
const PASS: Duration = Duration::from_millis(60);
/// Time between two changes of what the requests choose.
const SHIFT: Duration = Duration::from_millis(3_500);
/// Choices in a set and a pass, over all ranks.
const CHOICES: u64 = 24_000;
/// Time limit of a request.
const TIME_LIMIT: Duration = Duration::from_secs(8);
/// When the trouble begins, and when the last attempt at it does.
const TROUBLE_AT: Duration = Duration::from_secs(8);
const LAST_ATTEMPT: Duration = Duration::from_secs(55);
/// Longest time for which a sidecar is frozen, within the 3.5 s of the site.
const LONGEST_FREEZE: Duration = Duration::from_millis(3_300);
/// Time after which an order that was left unanswered is carried out.
const LATE: Duration = Duration::from_millis(2_500);
/// `recover_s` of the site.
const RECOVER: Duration = Duration::from_secs(12);
/// Time in which requests count after that.
const COUNTED: Duration = Duration::from_secs(9);

type Experts = Vec<BTreeSet<usize>>;
/// Experts by set and rank.
type Map = Vec<Vec<BTreeSet<usize>>>;

fn round_robin() -> Map {
    let rank = |r: usize| (r..EXPERTS).step_by(SIZE).collect();
    (0..SETS).map(|_| (0..SIZE).map(rank).collect()).collect()
}

/// State of a rank, which a new epoch of its group clears.
#[derive(Clone, Default)]
struct Rank {
    /// Version and content of the map in use.
    map: (u64, Map),
    /// A prepared map, and when its copy is complete.
    prepared: Option<(u64, Map, Instant)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    newest: u64,
}

struct Engine {
    address: SocketAddr,
    server: Option<Server>,
    id: String,
    born: u128,
    seq: u64,
    /// Group and rank.
    place: Option<(usize, usize)>,
    rank: Rank,
    counts: Vec<u64>,
}

struct Group {
    name: String,
    epoch: u64,
    open: bool,
    /// When the group opens, once all its ranks are there.
    opens_at: Option<Instant>,
    step: u64,
    members: Vec<Option<usize>>,
    switches: u32,
    mixed: u32,
    /// Since when the next pass is held, and the longest such time.
    held_since: Option<Instant>,
    longest_hold: Duration,
}

struct Entry {
    service: &'static str,
    address: SocketAddr,
    born: u128,
    /// Until when it is listed, once its replica has ended.
    until: Option<Instant>,
}

struct World {
    began: Instant,
    engines: Vec<Engine>,
    groups: Vec<Group>,
    /// Entries of the store by id.
    entries: BTreeMap<String, Entry>,
    rev: u64,
    record: String,
    /// Rank whose prepares are left unanswered once at each rank.
    drop_of: Option<u64>,
    dropped: BTreeSet<usize>,
    /// Accepted orders: operation, owner of the version or of the hold, rank.
    accepted: Vec<(String, u64, usize)>,
    /// When the counts of each rank of the first group were last read.
    counts_read: [Option<Instant>; SIZE],
    /// Requests: when they were sent, and the status of the answer.
    requests: Vec<(Instant, u16)>,
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

impl World {
    fn note(&mut self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.record, "{at:8.3}  {line}");
    }

    /// Starts a replica at an address of the given machine.
    fn start(world: &Arc<Mutex<World>>, index: usize, id: &str, group: usize) {
        let mut w = world.lock().unwrap();
        let address = w.engines[index].address;
        let handler = {
            let world = Arc::clone(world);
            Arc::new(move |request: &Request| answer(&world, index, request))
        };
        let server = Server::start(address, handler).expect("an engine's address is free");
        let engine = &mut w.engines[index];
        engine.server = Some(server);
        engine.id = id.to_owned();
        engine.born = unix_ms();
        engine.seq = 0;
        engine.rank = Rank {
            map: (0, round_robin()),
            ..Rank::default()
        };
        engine.counts = vec![0; SETS * EXPERTS];
        let service = SERVICES[group];
        let entry = Entry {
            service,
            address,
            born: w.engines[index].born,
            until: None,
        };
        w.entries.insert(id.to_owned(), entry);
        w.rev += 1;
        w.note(&format!("replica {id} of {service} starts at {address}"));
        w.join(index, group);
    }

    /// Gives a replica without a rank the vacant one.
    fn join(&mut self, index: usize, group: usize) {
        let rank = self.groups[group].members.iter().position(Option::is_none);
        let rank = rank.expect("a rank is vacant");
        self.groups[group].members[rank] = Some(index);
        self.engines[index].place = Some((group, rank));
        let line = format!(
            "the platform makes {} rank {rank} of group {}",
            self.engines[index].id, self.groups[group].name
        );
        self.note(&line);
        if self.groups[group].members.iter().all(Option::is_some) {
            self.groups[group].opens_at = Some(Instant::now() + FORM);
        }
    }

    /// Begins the next pass of a group unless it is held.
    fn pass(&mut self, group: usize) {
        let now = Instant::now();
        let g = &mut self.groups[group];
        if let Some(at) = g.opens_at.filter(|at| now >= *at) {
            g.opens_at = None;
            g.open = true;
            g.epoch += 1;
            let line = format!(
                "group {} opens in epoch {} after {:.1} s of forming",
                g.name,
                g.epoch,
                (now - at + FORM).as_secs_f64()
            );
            for index in g.members.clone().into_iter().flatten() {
                self.engines[index].rank = Rank {
                    map: (0, round_robin()),
                    ..Rank::default()
                };
            }
            self.note(&line);
        }
        let g = &mut self.groups[group];
        if !g.open {
            return;
        }
        let members: Vec<usize> = g.members.iter().copied().flatten().collect();
        let next = g.step + 1;
        let holds = |index: &usize| self.engines[*index].rank.held == Some(next);
        if members.iter().any(holds) {
            let since = *g.held_since.get_or_insert(now);
            g.longest_hold = g.longest_hold.max(now - since);
            return;
        }
        g.held_since = None;
        g.step = next;
        let mut switched = None;
        for index in &members {
            let rank = &mut self.engines[*index].rank;
            if rank.armed.is_some_and(|a| a.1 == next) {
                rank.armed = None;
                if let Some((version, map, _)) = rank.prepared.take() {
                    switched = Some(version);
                    rank.map = (version, map);
                }
            }
        }
        let maps: Vec<&(u64, Map)> = members.iter().map(|i| &self.engines[*i].rank.map).collect();
        let same = maps.iter().all(|m| *m == maps[0]);
        let versions: Vec<u64> = maps.iter().map(|m| m.0).collect();
        let name = g.name.clone();
        if let Some(version) = switched {
            g.switches += 1;
            self.note(&format!(
                "group {name} begins pass {next} with map {version}"
            ));
        }
        if !same {
            let g = &mut self.groups[group];
            g.mixed += 1;
            if g.mixed <= 5 {
                let line = format!(
                    "MAP BROKEN: group {name} begins pass {next} while its ranks have the maps {versions:?}"
                );
                self.note(&line);
            }
        }
        self.choose(group, &members);
    }

    /// Counts what the requests of a pass choose.
    fn choose(&mut self, group: usize, members: &[usize]) {
        let turn = self.began.elapsed().as_millis() / SHIFT.as_millis();
        for set in 0..SETS {
            let at = turn as usize * 7 + set * 11 + group * 5;
            let popular = [at % EXPERTS, (at + SIZE) % EXPERTS];
            for expert in 0..EXPERTS {
                let share = if popular.contains(&expert) { 30 } else { 2 };
                let choices = CHOICES * share / 104 / members.len() as u64;
                for index in members {
                    self.engines[*index].counts[set * EXPERTS + expert] += choices;
                }
            }
        }
    }

    fn report(&self, index: usize) -> String {
        let engine = &self.engines[index];
        let Some((group, rank)) = engine.place else {
            return format!(
                "{{\"stage\":\"both\",\"born\":{},\"busy\":false,\"seq\":{},\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":494000,\"handles\":0}}",
                engine.born, engine.seq
            );
        };
        let (g, state) = (&self.groups[group], &engine.rank);
        let ready = state
            .prepared
            .as_ref()
            .filter(|p| Instant::now() >= p.2)
            .map_or("null".to_owned(), |p| p.0.to_string());
        let armed = state.armed.map_or("null".to_owned(), |a| {
            format!("{{\"version\":{},\"step\":{}}}", a.0, a.1)
        });
        let held = state.held.map_or("null".to_owned(), |h| h.to_string());
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"born\":{},\"busy\":{},\"seq\":{},\"queued\":0,\"active\":6,\"kv_used\":41000,\
             \"kv_total\":494000,\"handles\":0,\"pace\":1.0,\
             \"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{rank},\"state\":\"{}\"}},\
             \"size\":{SIZE},\"step\":{},\"map\":{},\"prepared\":{ready},\"armed\":{armed},\"held\":{held}}}",
            engine.born,
            state
                .prepared
                .as_ref()
                .is_some_and(|p| Instant::now() < p.2),
            engine.seq,
            g.name,
            g.epoch,
            if g.open { "open" } else { "broken" },
            g.step,
            state.map.0,
        )
    }

    fn picked(&self, index: usize, lists: bool) -> String {
        let engine = &self.engines[index];
        let Some((group, rank)) = engine.place else {
            return "{}".to_owned();
        };
        let g = &self.groups[group];
        if !lists {
            let counts: Vec<String> = engine.counts.iter().map(u64::to_string).collect();
            return format!(
                "{{\"step\":{},\"epoch\":{},\"counts\":[{}]}}",
                g.step,
                g.epoch,
                counts.join(",")
            );
        }
        let list = |version: u64, map: &Map| {
            let sets: Vec<String> = map.iter().map(|s| format!("{:?}", s[rank])).collect();
            let sets = sets.join(",").replace('{', "[").replace('}', "]");
            format!("{{\"version\":{version},\"experts\":[{sets}]}}")
        };
        let prepared = engine.rank.prepared.as_ref();
        let prepared = prepared.map_or("null".to_owned(), |p| list(p.0, &p.1));
        format!(
            "{{\"step\":{},\"epoch\":{},\"map\":{},\"prepared\":{prepared}}}",
            g.step,
            g.epoch,
            list(engine.rank.map.0, &engine.rank.map.1)
        )
    }

    /// Executes an order as the pages say; returns the status.
    fn order(&mut self, index: usize, request: &Request, late: bool) -> u16 {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|id| id != self.engines[index].id) {
            return 421;
        }
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(order) = Json::parse(&text) else {
            return 400;
        };
        let Some((group, rank)) = self.engines[index].place else {
            return 409;
        };
        let g = &self.groups[group];
        if order.get("epoch").number().is_some_and(|e| e != g.epoch) || !g.open {
            return 409;
        }
        let begun = g.step;
        let version = order.get("version").number().unwrap_or(0);
        let op = order.get("op").text().unwrap_or("?");
        let owner = version % 1024;
        let unanswered = match op {
            "prepare" => self.drop_of == Some(owner) && self.dropped.insert(rank),
            "arm" => {
                self.drop_of.is_some()
                    && (owner == 1 || owner == 3)
                    && rank as u64 == owner
                    && self.dropped.insert(100 + rank)
            }
            _ => false,
        };
        if unanswered && !late {
            let line = format!("order {op} version {version} at rank {rank} is left unanswered");
            self.note(&line);
            return 0;
        }
        let step = order.get("step").number().unwrap_or(0);
        let now = Instant::now();
        let engine = &mut self.engines[index];
        let state = &mut engine.rank;
        let status = match order.get("op").text() {
            Some("prepare") => {
                let map: Map = order
                    .get("map")
                    .list()
                    .iter()
                    .map(|set| {
                        let experts = |r: &Json| -> BTreeSet<usize> {
                            let all = r.list().iter().filter_map(Json::number);
                            all.map(|e| e as usize).collect()
                        };
                        set.list().iter().map(experts).collect()
                    })
                    .collect();
                let known = state.prepared.as_ref().map(|p| p.0);
                if known == Some(version) || state.map.0 == version {
                    200
                } else if !is_valid(&map) {
                    400
                } else if version <= state.newest || state.armed.is_some() {
                    409
                } else {
                    let new = new_experts(&state.map.1, &map, rank);
                    if new.iter().any(|n| *n > SPARE) {
                        409
                    } else {
                        let each = EXPERT_MB * 8.0 / LINK_MBPS;
                        let copied = each * new.iter().sum::<usize>() as f64;
                        let ready = now + Duration::from_secs_f64(copied);
                        state.newest = version;
                        state.prepared = Some((version, map, ready));
                        202
                    }
                }
            }
            Some("arm") => {
                let ready = state.prepared.as_ref().filter(|p| now >= p.2);
                if state.armed == Some((version, step)) {
                    200
                } else if step <= begun || ready.is_none_or(|p| p.0 != version) {
                    409
                } else {
                    state.armed = Some((version, step));
                    200
                }
            }
            Some("disarm") => {
                if state.map.0 == version {
                    409
                } else {
                    state.armed.take_if(|a| a.0 == version);
                    200
                }
            }
            Some("hold") => {
                if state.held == Some(step) {
                    200
                } else if step <= begun || state.held.is_some() {
                    409
                } else {
                    state.held = Some(step);
                    200
                }
            }
            Some("go") => {
                state.held.take_if(|h| *h == step);
                200
            }
            _ => 400,
        };
        if status == 202 {
            engine.seq += 1;
        }
        if status < 300 {
            let op = order.get("op").text().unwrap_or("?").to_owned();
            let owner = if op == "hold" || op == "go" {
                ((rank + SIZE - 1) % SIZE) as u64
            } else {
                version % 1024
            };
            self.accepted.push((op, owner, rank));
        }
        let line = format!(
            "order {} version {version} step {step} epoch {} at {} (group {}, rank {rank}, pass {begun}): {status}",
            order.get("op").text().unwrap_or("?"),
            order.get("epoch").number().unwrap_or(0),
            self.engines[index].id,
            self.groups[group].name,
        );
        self.note(&line);
        status
    }
}

/// Whether each expert is on some rank, and no rank has too many.
fn is_valid(map: &Map) -> bool {
    map.len() == SETS
        && map.iter().all(|set| {
            let held: BTreeSet<usize> = set.iter().flatten().copied().collect();
            set.len() == SIZE
                && held == (0..EXPERTS).collect()
                && set.iter().all(|r| r.len() <= PLACEMENTS)
        })
}

fn new_experts(from: &Map, to: &Map, rank: usize) -> Vec<usize> {
    let experts = |map: &Map| -> Experts { map.iter().map(|s| s[rank].clone()).collect() };
    let (from, to) = (experts(from), experts(to));
    from.iter()
        .zip(&to)
        .map(|(f, t)| t.difference(f).count())
        .collect()
}

/// A request that a replica serves with three passes of its group, if they begin within eight seconds.
fn work(shared: &Mutex<World>, index: usize) -> (u16, String) {
    let step = || {
        let world = shared.lock().unwrap();
        world.engines[index].place.map(|p| world.groups[p.0].step)
    };
    let (began, first) = (Instant::now(), step());
    while began.elapsed() < TIME_LIMIT {
        thread::sleep(Duration::from_millis(20));
        if step()
            .zip(first)
            .is_some_and(|(now, first)| now >= first + 3)
        {
            return (200, String::new());
        }
    }
    (504, String::new())
}

fn answer(shared: &Arc<Mutex<World>>, index: usize, request: &Request) -> (u16, String) {
    if request.path == "/work" {
        return work(shared, index);
    }
    let mut world = shared.lock().unwrap();
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/report") => (200, world.report(index)),
        ("GET", "/picked") => {
            if index < SIZE {
                world.counts_read[index] = Some(Instant::now());
            }
            (200, world.picked(index, false))
        }
        ("GET", path) if path.starts_with("/picked?lists") => {
            if index < SIZE {
                world.counts_read[index] = Some(Instant::now());
            }
            (200, world.picked(index, true))
        }
        ("POST", "/order") => {
            let status = world.order(index, request, false);
            if status == 0 {
                let (shared, request) = (Arc::clone(shared), request.clone());
                thread::spawn(move || {
                    thread::sleep(LATE);
                    shared.lock().unwrap().order(index, &request, true);
                });
            }
            (status, String::new())
        }
        _ => (404, String::new()),
    }
}

fn store(world: &Mutex<World>, config: &str, request: &Request) -> (u16, String) {
    let mut world = world.lock().unwrap();
    let now = Instant::now();
    world
        .entries
        .retain(|_, entry| entry.until.is_none_or(|at| now < at));
    let path = request.path.split('?').next().unwrap_or_default();
    let items = match path {
        "/objects/config" => format!(
            "{{\"meta\":{{\"name\":\"main\",\"rev\":2,\"created\":2,\"finalizers\":[],\"deleting\":false}},\"spec\":{config},\"status\":null}}"
        ),
        "/objects/servers" => {
            let entry = |(id, entry): (&String, &Entry)| {
                format!(
                    "{{\"meta\":{{\"name\":\"{id}\",\"rev\":3,\"created\":3,\"finalizers\":[],\"deleting\":false}},\
                     \"spec\":{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":12,\
                     \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{}}},\"status\":null}}",
                    entry.service, entry.address, entry.born
                )
            };
            let entries: Vec<String> = world.entries.iter().map(entry).collect();
            entries.join(",")
        }
        _ => String::new(),
    };
    let rev = world.rev;
    (
        200,
        format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{rev}}}"),
    )
}

fn config() -> String {
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":348,\"engine\":{{\
             \"slots\":12,\"kv_capacity\":494000,\"link_mbps\":{LINK_MBPS:.1},\"stride\":6,\"step_ms\":4.84,\
             \"per_seq_ms\":0.362,\"context_per_k\":0.011,\"read_per_s\":74800.0,\"chunk\":512,\"delays\":[],\
             \"usual\":{{\"prompt\":800,\"answer\":150}},\"sets\":{SETS},\"experts\":{EXPERTS},\
             \"placements\":{PLACEMENTS},\"spare\":{SPARE},\"expert_mb\":{EXPERT_MB:.1},\"expert_share\":0.85,\
             \"form_ms\":600.0,\"report_lag_ms\":200.0}}}}"
        )
    };
    let route = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"path_prefix\":\"/{name}/\",\"type\":\"stream\",\
             \"timeout_ms\":8000,\"target_latency_ms\":400,\"gap_target_ms\":120,\"priority\":1,\
             \"service\":\"{name}\",\"attempts\":2,\"public\":true,\"sticky\":true,\"resumable\":true}}"
        )
    };
    let services: Vec<String> = SERVICES.iter().map(service).collect();
    let routes: Vec<String> = SERVICES.iter().map(route).collect();
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[]}}",
        routes.join(","),
        services.join(",")
    )
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let count = GROUPS * SIZE;
    let place = Place::new(count + 1);
    let ip = |index: usize| place.ip(index);
    let began = Instant::now();
    let engines = (0..count).map(|index| Engine {
        address: SocketAddr::new(ip(index), place.port(0)),
        server: None,
        id: String::new(),
        born: 0,
        seq: 0,
        place: None,
        rank: Rank::default(),
        counts: Vec::new(),
    });
    let group = |number: usize| Group {
        name: format!("g-{}", SERVICES[number]),
        epoch: 0,
        open: false,
        opens_at: None,
        step: 0,
        members: vec![None; SIZE],
        switches: 0,
        mixed: 0,
        held_since: None,
        longest_hold: Duration::ZERO,
    };
    let world = Arc::new(Mutex::new(World {
        began,
        engines: engines.collect(),
        groups: (0..GROUPS).map(group).collect(),
        entries: BTreeMap::new(),
        rev: 2,
        record: String::new(),
        drop_of: None,
        dropped: BTreeSet::new(),
        accepted: Vec::new(),
        counts_read: [None; SIZE],
        requests: Vec::new(),
    }));
    let platform = SocketAddr::new(ip(count), place.port(2));
    let store = {
        let world = Arc::clone(&world);
        Server::start(
            platform,
            Arc::new(move |request: &Request| store(&world, &config(), request)),
        )
        .expect("the store's address is free")
    };
    for index in 0..count {
        World::start(&world, index, &format!("i-{index:02}"), index / SIZE);
    }
    {
        let world = Arc::clone(&world);
        thread::spawn(move || {
            loop {
                thread::sleep(PASS);
                let mut world = world.lock().unwrap();
                for group in 0..GROUPS {
                    world.pass(group);
                }
            }
        });
    }
    let mut sidecars: Vec<Process> = Vec::new();
    for index in 0..count {
        let settings = settings(&place, index, platform, index / SIZE);
        sidecars.push(place.daemon(&format!("side-{index:02}"), &settings));
    }
    let mut back_at = None;
    for index in 0..SIZE {
        let (world, address) = (
            Arc::clone(&world),
            SocketAddr::new(place.ip(index), place.port(0)),
        );
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(250));
                let world = Arc::clone(&world);
                thread::spawn(move || {
                    let sent = Instant::now();
                    let status = ask(address);
                    world.lock().unwrap().requests.push((sent, status));
                });
            }
        });
    }
    wait_until(began + TROUBLE_AT);
    let wait_for = |what: &dyn Fn(&World) -> bool, limit: u64| -> bool {
        let until = Instant::now() + Duration::from_millis(limit);
        while Instant::now() < until {
            if what(&world.lock().unwrap()) {
                return true;
            }
            thread::sleep(Duration::from_micros(300));
        }
        false
    };
    let note = |line: &str| world.lock().unwrap().note(line);
    let restart = |sidecars: &mut Vec<Process>, r: usize| {
        let settings = settings(&place, r, platform, 0)
            .replace("\"first_start\":true", "\"first_start\":false");
        sidecars[r] = place.daemon(&format!("side-{r:02}"), &settings);
    };
    if trouble {
        for attempt in 0..9 {
            if began.elapsed() > LAST_ATTEMPT {
                break;
            }
            note(&format!(
                "attempt {attempt}: sidecars 0, 1 and 2 are killed"
            ));
            for r in 0..3 {
                sidecars[r].signal("-KILL");
            }
            let led = wait_for(
                &|w: &World| w.accepted.iter().rev().take(4).any(|a| a.1 == 3),
                2800,
            );
            note(&format!("rank 3 leads: {led}"));
            thread::sleep(Duration::from_millis(500));
            for r in 0..3 {
                restart(&mut sidecars, r);
            }
            note("sidecars 0, 1 and 2 start again");
            thread::sleep(Duration::from_millis(4000));
            world.lock().unwrap().accepted.clear();
            let prepared = wait_for(
                &|w: &World| {
                    (0..SIZE).all(|r| {
                        w.accepted
                            .iter()
                            .any(|a| a.0 == "prepare" && a.1 == 3 && a.2 == r)
                    })
                },
                6000,
            );
            if !prepared {
                note("no rollout of rank 3");
                continue;
            }
            sidecars[3].signal("-STOP");
            sidecars[0].signal("-STOP");
            note("sidecars 3 and 0 freeze");
            {
                let mut w = world.lock().unwrap();
                w.accepted.clear();
                w.dropped.clear();
                w.drop_of = Some(1);
            }
            let frozen_at = Instant::now();
            let leads = wait_for(
                &|w: &World| {
                    [1, 2].iter().any(|r| {
                        w.counts_read[*r]
                            .is_some_and(|at| at > frozen_at + Duration::from_millis(500))
                    })
                },
                2000,
            );
            sidecars[0].signal("-CONT");
            note(&format!("sidecar 0 wakes; rank 1 leads: {leads}"));
            let left = LONGEST_FREEZE.saturating_sub(frozen_at.elapsed());
            let left = u64::try_from(left.as_millis()).unwrap_or(0);
            let planned = wait_for(&|w: &World| !w.dropped.is_empty(), left);
            sidecars[3].signal("-CONT");
            note(&format!("sidecar 3 wakes; rank 1 has planned: {planned}"));
            let held = planned
                && wait_for(
                    &|w: &World| w.accepted.iter().any(|a| a.0 == "hold" && a.1 == 3),
                    400,
                );
            if !held {
                world.lock().unwrap().drop_of = None;
                note("sidecar 3 holds no pass: the attempt is left");
                thread::sleep(Duration::from_millis(500));
                continue;
            }
            sidecars[3].signal("-KILL");
            note("sidecar 3 is killed; a pass is held at rank 0");
            let second = wait_for(
                &|w: &World| w.accepted.iter().any(|a| a.0 == "hold" && a.1 == 1),
                1700,
            );
            if second {
                sidecars[1].signal("-KILL");
                note("sidecar 1 is killed; a pass is held at rank 2");
            }
            world.lock().unwrap().drop_of = None;
            thread::sleep(Duration::from_millis(1200));
            for r in [1, 3].into_iter().filter(|r| second || *r == 3) {
                restart(&mut sidecars, r);
            }
            back_at = Some(Instant::now());
            let views: Vec<String> = {
                let w = world.lock().unwrap();
                (0..SIZE)
                    .map(|r| {
                        format!(
                            "held {:?} armed {:?}",
                            w.engines[r].rank.held, w.engines[r].rank.armed
                        )
                    })
                    .collect()
            };
            note(&format!("what was killed starts again; {views:?}"));
            let step = world.lock().unwrap().groups[0].step;
            let goes_on = wait_for(&|w: &World| w.groups[0].step > step + 5, 3000);
            note(&format!("passes go on: {goes_on}"));
            if !goes_on {
                break;
            }
        }
    }
    let back_at = back_at.unwrap_or(began + Duration::from_secs(12));
    wait_until(back_at + RECOVER + COUNTED + TIME_LIMIT);
    let ended = sidecars.iter_mut().map(Process::has_ended);
    let ended = ended.filter(|ended| *ended).count();
    sidecars.into_iter().for_each(Process::end);
    store.close();
    let mut world = world.lock().unwrap();
    let mut summary = String::new();
    let counted = |from: Instant, until: Instant| {
        let sent = world.requests.iter().filter(|r| r.0 >= from && r.0 < until);
        let all: Vec<u16> = sent.map(|r| r.1).collect();
        (all.iter().filter(|s| **s == 200).count(), all.len())
    };
    let before = counted(began + Duration::from_secs(2), began + TROUBLE_AT);
    let after = counted(back_at + RECOVER, back_at + RECOVER + COUNTED);
    let g = &world.groups[0];
    let held = g.held_since.map_or(0.0, |at| at.elapsed().as_secs_f64());
    let _ = writeln!(
        summary,
        "group {}: epoch {}, {} passes, {} changes of map, held for {held:.1} s at the end",
        g.name, g.epoch, g.step, g.switches
    );
    let _ = writeln!(
        summary,
        "requests served: {} of {} before the trouble, {} of {} that were sent later than {} s after all were back",
        before.0,
        before.1,
        after.0,
        after.1,
        RECOVER.as_secs()
    );
    let _ = writeln!(
        summary,
        "sidecars that ended by themselves: {ended}; trouble: {trouble}"
    );
    let result = if before.0 * 4 < before.1 || after.1 == 0 || g.switches == 0 {
        ("the case could not run", 2)
    } else if after.0 * 4 < after.1 {
        ("RECOVER is broken", 1)
    } else {
        ("RECOVER held", 0)
    };
    let _ = writeln!(summary, "{}", result.0);
    print!("{summary}");
    let record = format!("{summary}\n{}", world.record);
    world.record.clear();
    drop(world);
    place.finish(&record);
    std::process::exit(result.1);
}

fn settings(place: &Place, index: usize, platform: SocketAddr, group: usize) -> String {
    let (ip, service) = (place.ip(index), SERVICES[group]);
    format!(
        "{{\"role\":\"rank\",\"host\":\"side-{index:02}\",\"region\":\"r\",\"data_centre\":\"a\",\
         \"control_address\":\"{ip}:{}\",\"platform_url\":\"http://{platform}\",\
         \"metrics_address\":\"{ip}:{}\",\"first_start\":true,\"allow_plain_links\":true,\
         \"rank\":{{\"link_mbps\":20}},\"engine\":{{\"address\":\"{ip}:{}\",\"service\":\"{service}\"}}}}",
        place.port(1),
        place.port(3),
        place.port(0)
    )
}

/// Sends a request to a replica; 0 if there is no answer.
fn ask(address: SocketAddr) -> u16 {
    let request = b"GET /work HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n";
    let Ok(mut stream) = TcpStream::connect(address) else {
        return 0;
    };
    let mut head = [0; 12];
    let answered = stream.write_all(request).is_ok() && stream.read_exact(&mut head).is_ok();
    let status = String::from_utf8_lossy(&head[9..]).parse();
    status.ok().filter(|_| answered).unwrap_or(0)
}

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
