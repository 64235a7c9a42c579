//! Two services, each with a group of ranks, the platform's store and the sidecars of the ranks.
//!
//! One replica of each service crashes for good. Its address goes to a new replica of the other service, which
//! takes the vacant rank there. The engines check at the begin of each pass whether all ranks of the group have
//! the same map.

#[allow(dead_code)]
#[path = "http.rs"]
mod http;
#[path = "json.rs"]
mod json;
#[allow(dead_code)]
#[path = "place.rs"]
mod place;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{Request, Server};
use json::Json;
use place::{Place, Process};

const GROUPS: usize = 2;
const SIZE: usize = 7;
const SERVICES: [&str; GROUPS] = ["scribe", "teller"];
const SETS: usize = 2;
const EXPERTS: usize = 28;
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
/// Rank that crashes in each group.
const CRASHED: usize = 2;
const CRASH_AT: Duration = Duration::from_secs(14);
/// Time after which the address of a replica that has ended is used again.
const REUSE_AFTER: Duration = Duration::from_millis(2_300);
const LENGTH: Duration = Duration::from_secs(40);
/// Silence after which the store drops an entry: three check-in intervals.
const ENTRY_LIFE: Duration = Duration::from_millis(3_600);

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

    fn crash(&mut self, index: usize) -> Option<Server> {
        let engine = &mut self.engines[index];
        let (id, server) = (engine.id.clone(), engine.server.take());
        if let Some((group, rank)) = engine.place.take() {
            self.groups[group].members[rank] = None;
            self.groups[group].open = false;
            self.groups[group].opens_at = None;
            self.groups[group].held_since = None;
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.until = Some(Instant::now() + ENTRY_LIFE);
        }
        self.note(&format!("replica {id} crashes"));
        server
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
    fn order(&mut self, index: usize, request: &Request) -> u16 {
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

fn answer(world: &Mutex<World>, index: usize, request: &Request) -> (u16, String) {
    let mut world = world.lock().unwrap();
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/report") => (200, world.report(index)),
        ("GET", "/picked") => (200, world.picked(index, false)),
        ("GET", path) if path.starts_with("/picked?lists") => (200, world.picked(index, true)),
        ("POST", "/order") => (world.order(index, request), String::new()),
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
    let own_groups = std::env::var("OWN_GROUPS").as_deref() == Ok("1");
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
    wait_until(began + CRASH_AT);
    if trouble {
        let crashed: Vec<usize> = (0..GROUPS).map(|g| g * SIZE + CRASHED).collect();
        let servers: Vec<Server> = {
            let mut world = world.lock().unwrap();
            crashed.iter().filter_map(|i| world.crash(*i)).collect()
        };
        servers.iter().for_each(Server::close);
        wait_until(began + CRASH_AT + REUSE_AFTER);
        for (group, index) in crashed.iter().enumerate() {
            let group = if own_groups {
                group
            } else {
                GROUPS - 1 - group
            };
            World::start(&world, *index, &format!("i-{index:02}-new"), group);
            if !own_groups {
                // The replica beside which the sidecar runs is of another service now.
                let settings = settings(&place, *index, platform, group);
                place.write(&format!("side-{index:02}"), &settings);
                sidecars[*index].signal("-HUP");
            }
        }
    }
    wait_until(began + LENGTH);
    let ended = sidecars.iter_mut().map(Process::has_ended);
    let ended = ended.filter(|ended| *ended).count();
    sidecars.into_iter().for_each(Process::end);
    store.close();
    let mut world = world.lock().unwrap();
    let mut summary = String::new();
    let (mut mixed, mut fewest) = (0, u32::MAX);
    for g in &world.groups {
        mixed += g.mixed;
        fewest = fewest.min(g.switches);
        let _ = writeln!(
            summary,
            "group {}: epoch {}, {} passes, {} changes of map, {} passes begun with different maps, held {:.1} s at most",
            g.name,
            g.epoch,
            g.step,
            g.switches,
            g.mixed,
            g.longest_hold.as_secs_f64()
        );
    }
    let _ = writeln!(
        summary,
        "sidecars that ended by themselves: {ended}; trouble: {trouble}; back where they were: {own_groups}"
    );
    let result = if mixed > 0 {
        ("MAP is broken", 1)
    } else if fewest == 0 || ended > 0 {
        (
            "the case could not run: no change of map, or a sidecar ended",
            2,
        )
    } else {
        ("MAP held", 0)
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

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
