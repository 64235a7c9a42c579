//! The cases, each with its judge.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::Duration;

use crate::gateway::{Bounds, Gateway, LFX_WOOL, QUISPE};
use crate::http::{Answer, Patience, call};
use crate::record::{Arrival, Record};
use crate::replica::{Act, Replica};
use crate::store::Store;

pub struct Verdict {
    pub broken: bool,
    pub text: String,
}

/// Time for which a machine must have been left alone to count as in touch, and `stable_window_ms` of the rules.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn config(routes: &[(&str, &str, u32)]) -> String {
    let route = |(prefix, service, attempts): &(&str, &str, u32)| {
        format!(
            "{{\"name\":\"r-{service}\",\"host\":\"app.example\",\"path_prefix\":\"{prefix}\",\
             \"type\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":150,\"priority\":2,\
             \"service\":\"{service}\",\"attempts\":{attempts},\"public\":true}}"
        )
    };
    let service = |(_, service, _): &(&str, &str, u32)| {
        format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_conns\":300,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":23.0}}"
        )
    };
    let services: Vec<String> = routes.iter().map(service).collect();
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[]}}",
        routes.join(","),
        services.join(",")
    )
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Sends one attempt of a caller, with an id of its own.
fn send(record: &Record, to: SocketAddr, name: &str, target: &str, patience: Duration) -> Answer {
    let id = format!("{:016x}", 0x9c41_0000 + NEXT.fetch_add(1, Ordering::SeqCst));
    record.sent(&id, name, target);
    let text = format!(
        "GET {target} HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 2500\r\nConnection: close\r\n\r\n"
    );
    let answer = call(to, &text, b"", Patience { time: patience });
    let (status, whole) = (answer.status, answer.whole);
    let signed = !answer.header("x-signature").is_empty();
    let text = match status {
        0 => "no answer".to_owned(),
        _ => format!(
            "{status}, whole {whole}, signed {signed}, {} bytes",
            answer.body.len()
        ),
    };
    record.line(&format!("caller gets {text} for {id}"));
    answer
}

fn publish(store: &Store, routes: &[(&str, &str, u32)], replicas: &[Arc<Replica>]) {
    store.change("config", "main", Some(&config(routes)));
    for replica in replicas {
        store.change("servers", &replica.id, Some(&replica.entry(0)));
    }
}

/// Requests like the one that crashes replicas which reached some, sent by callers between two times.
fn retries(record: &Record, target: &str, from: Duration) -> BTreeSet<String> {
    let arrivals = record.arrivals().into_iter();
    let late = arrivals.filter(|a: &Arrival| a.target == target && a.ran && a.at >= from);
    late.map(|a| a.request).collect()
}

fn judge_retries(record: &Record, target: &str, in_touch_from: Duration) -> Verdict {
    let crashes = record.crashes();
    let Some(third) = crashes.get(2) else {
        panic!("the request did not crash three replicas");
    };
    let from = (*third + STABLE_WINDOW).max(in_touch_from);
    let late = retries(record, target, from).len();
    Verdict {
        broken: late > 3,
        text: format!(
            "BUDGET: {late} retries of the request reached replicas later than {:.3} s, 3 s after it had \
             crashed the third; 3 may. It crashed {} replicas in all.",
            from.as_secs_f64(),
            crashes.len()
        ),
    }
}

const POISON: &str = "/books/fatal";

/// A request crashes three replicas; right after, all processes of the system are killed and started again. The
/// request comes again when they are back and in touch.
pub fn restart(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    let act = |request: &crate::http::Request| {
        if request.target == POISON {
            Act::Crash(ms(20))
        } else {
            Act::Work(ms(30))
        }
    };
    let replicas: Vec<Arc<Replica>> = (0..12)
        .map(|n| Replica::start(&format!("i-{n:08x}"), "books", 6, record, act))
        .collect();
    publish(&store, &[("/books/", "books", 1)], &replicas);
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|n| {
            Gateway::new(
                &format!("edge-{n}"),
                LFX_WOOL,
                store.address,
                folder,
                record,
            )
        })
        .collect();
    let seeds: Vec<SocketAddr> = gateways.iter().map(|g| g.control).collect();
    for gateway in &mut gateways {
        gateway.start(true, &seeds);
    }
    for gateway in &gateways {
        gateway.wait_until_ready();
    }
    sleep(ms(4_000));
    let poison = |gateways: &[Gateway], n: usize| {
        let gateway = &gateways[n % gateways.len()];
        send(record, gateway.callers, &gateway.name, POISON, ms(2_500));
    };
    for n in 0.. {
        poison(&gateways, n);
        if record.crashes().len() >= 3 {
            break;
        }
        sleep(ms(400));
    }
    sleep(ms(300));
    if trouble {
        for gateway in &mut gateways {
            gateway.kill();
        }
        sleep(ms(500));
        for gateway in &mut gateways {
            gateway.start(false, &seeds);
        }
        for gateway in &gateways {
            gateway.wait_until_ready();
        }
    }
    sleep(STABLE_WINDOW + ms(500));
    let in_touch = record.now();
    for n in 0..12 {
        poison(&gateways, n);
        sleep(ms(400));
    }
    judge_retries(record, POISON, in_touch)
}

/// Hosts that were started with one list of seeds, and hosts that were started with another one, never meet. A
/// request crashes three replicas, through the former, and then comes at the latter.
pub fn apart(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    let act = |request: &crate::http::Request| {
        if request.target == POISON {
            Act::Crash(ms(20))
        } else {
            Act::Work(ms(30))
        }
    };
    let replicas: Vec<Arc<Replica>> = (0..12)
        .map(|n| Replica::start(&format!("i-{n:08x}"), "books", 6, record, act))
        .collect();
    publish(&store, &[("/books/", "books", 1)], &replicas);
    let mut gateways: Vec<Gateway> = (0..4)
        .map(|n| {
            Gateway::new(
                &format!("edge-{n}"),
                LFX_WOOL,
                store.address,
                folder,
                record,
            )
        })
        .collect();
    // Two seeds of each list are down.
    let down = [crate::ports::free(), crate::ports::free()];
    let old = vec![gateways[0].control, down[0], down[1]];
    let new = vec![gateways[2].control, down[0], down[1]];
    for gateway in &mut gateways[..2] {
        gateway.start(false, &old);
    }
    for gateway in &mut gateways[2..] {
        gateway.start(false, if trouble { &new } else { &old });
    }
    for gateway in &gateways {
        gateway.wait_until_ready();
    }
    sleep(ms(15_000));
    let poison = |gateway: &Gateway| {
        send(record, gateway.callers, &gateway.name, POISON, ms(2_500));
        sleep(ms(400));
    };
    for n in 0..8 {
        poison(&gateways[n % 2]);
    }
    sleep(STABLE_WINDOW);
    for n in 0..12 {
        poison(&gateways[2 + n % 2]);
    }
    judge_retries(record, POISON, Duration::ZERO)
}

/// A request crashes replicas a little while after they begin to run it. Its caller has left by then, each time.
pub fn leave(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    let act = |request: &crate::http::Request| {
        if request.target == POISON {
            Act::Crash(ms(300))
        } else {
            Act::Work(ms(30))
        }
    };
    let mut replicas: Vec<Arc<Replica>> = (0..3)
        .map(|n| Replica::start(&format!("i-{n:08x}"), "books", 6, record, act))
        .collect();
    let other: Vec<Arc<Replica>> = (3..6)
        .map(|n| Replica::start(&format!("i-{n:08x}"), "notes", 6, record, act))
        .collect();
    replicas.extend(other);
    publish(
        &store,
        &[("/books/", "books", 2), ("/notes/", "notes", 2)],
        &replicas,
    );
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|n| {
            Gateway::new(
                &format!("edge-{n}"),
                LFX_WOOL,
                store.address,
                folder,
                record,
            )
        })
        .collect();
    let seeds: Vec<SocketAddr> = gateways.iter().map(|g| g.control).collect();
    for gateway in &mut gateways {
        gateway.start(true, &seeds);
    }
    for gateway in &gateways {
        gateway.wait_until_ready();
    }
    sleep(ms(4_000));
    for n in 0..16 {
        let gateway = &gateways[n % gateways.len()];
        // The caller leaves after 150 ms, its whole objective.
        let patience = if trouble { ms(150) } else { ms(2_500) };
        send(record, gateway.callers, &gateway.name, POISON, patience);
        for _ in 0..5 {
            send(
                record,
                gateway.callers,
                &gateway.name,
                "/notes/1",
                ms(2_500),
            );
            sleep(ms(400));
        }
    }
    judge_retries(record, POISON, Duration::ZERO)
}

/// Starts entry hosts whose settings name three seeds. The seeds are down; without trouble they are three more
/// hosts. The last four of the hosts that are returned run either way.
fn with_seeds(
    store: &Store,
    bounds: Bounds,
    record: &Arc<Record>,
    folder: &Path,
    trouble: bool,
) -> Vec<Gateway> {
    let mut gateways: Vec<Gateway> = (0..7)
        .map(|n| Gateway::new(&format!("edge-{n}"), bounds, store.address, folder, record))
        .collect();
    let seeds: Vec<SocketAddr> = gateways.iter().take(3).map(|g| g.control).collect();
    let down = if trouble { 3 } else { 0 };
    for gateway in &gateways[..down] {
        record.line(&format!("the seed {} is down", gateway.name));
    }
    for gateway in &mut gateways[down..] {
        gateway.start(false, &seeds);
    }
    for gateway in &gateways[down..] {
        gateway.wait_until_ready();
    }
    // `recover_s` of the largest sheets.
    sleep(ms(15_000));
    gateways
}

/// Sends requests to the last four hosts at a steady rate, on channels of their own.
fn load(record: &Arc<Record>, gateways: &[Gateway], count: usize, interval: Duration) {
    let callers: Vec<(SocketAddr, String)> = gateways[3..]
        .iter()
        .map(|g| (g.callers, g.name.clone()))
        .collect();
    let mut threads = Vec::new();
    let (began, pace) = (record.now(), record);
    for n in 0..count {
        let (address, name) = callers[n % callers.len()].clone();
        let record = Arc::clone(pace);
        threads.push(std::thread::spawn(move || {
            send(&record, address, &name, "/books/1", ms(2_500));
        }));
        let next = began + interval * u32::try_from(n + 1).unwrap_or(u32::MAX);
        sleep(next.saturating_sub(pace.now()));
    }
    for thread in threads {
        let _ = thread.join();
    }
}

/// The hosts start while their seeds are down. A service gets more requests than it can run.
pub fn seeds(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    let replicas: Vec<Arc<Replica>> = (0..3)
        .map(|n| {
            let act = |_: &crate::http::Request| Act::Work(ms(300));
            Replica::start(&format!("i-{n:08x}"), "books", 1, record, act)
        })
        .collect();
    publish(&store, &[("/books/", "books", 2)], &replicas);
    let gateways = with_seeds(&store, LFX_WOOL, record, folder, trouble);
    load(record, &gateways, 1_200, ms(25));
    judge_budget(record)
}

/// The hosts start while their seeds are down. A replica crashes and comes back cold.
pub fn cold(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    let replicas: Vec<Arc<Replica>> = (0..3)
        .map(|n| {
            let act = |_: &crate::http::Request| Act::Work(ms(120));
            Replica::start(&format!("i-{n:08x}"), "books", 24, record, act)
        })
        .collect();
    publish(&store, &[("/books/", "books", 2)], &replicas);
    let gateways = with_seeds(&store, QUISPE, record, folder, trouble);
    let began = Arc::new(std::sync::Mutex::new(None));
    let crashing = {
        let (replica, store) = (Arc::clone(&replicas[0]), Arc::clone(&store));
        let (record, began) = (Arc::clone(record), Arc::clone(&began));
        std::thread::spawn(move || {
            sleep(ms(3_000));
            record.line(&format!("replica {} crashes", replica.id));
            replica.crash();
            sleep(ms(500));
            while !replica.is_up() {
                sleep(ms(2));
            }
            // Its first entry, and one every `heartbeat_ms` as long as it is cold.
            let start = record.now();
            *began.lock().expect("the start") = Some(start);
            loop {
                let age = record.now().saturating_sub(start);
                let left = COLD_START.saturating_sub(age).as_millis() as u64;
                store.change("servers", &replica.id, Some(&replica.entry(left)));
                record.line(&format!(
                    "replica {} writes cold_left_ms {left}",
                    replica.id
                ));
                if left == 0 {
                    return;
                }
                sleep(ms(1_200));
            }
        })
    };
    load(record, &gateways, 3_000, ms(4));
    let _ = crashing.join();
    let Some(start) = *began.lock().expect("the start") else {
        panic!("the replica did not come back");
    };
    judge_cold(record, &replicas[0].id, start)
}

/// `cold_start_s` of the configuration, and the bound of the rule: `cold_per_s` x `cold_overage` + `cold_slack`.
const COLD_START: Duration = Duration::from_secs(3);
const COLD_BOUND: f64 = 23.0 * 1.5 + 5.0;

/// Requests that were sent and reached a cold replica inside one second.
fn judge_cold(record: &Record, replica: &str, start: Duration) -> Verdict {
    let sent: std::collections::BTreeMap<String, Duration> = record
        .requests()
        .into_iter()
        .map(|(at, id)| (id, at))
        .collect();
    let end = start + COLD_START;
    let arrivals = record
        .arrivals()
        .into_iter()
        .filter(|a| a.replica == replica);
    let cold: Vec<Arrival> = arrivals.filter(|a| a.at >= start && a.at < end).collect();
    let second = Duration::from_secs(1);
    let counts = cold.iter().map(|first| {
        let from = first.at;
        let inside = |a: &&Arrival| {
            let sent_at = sent.get(&a.request).copied().unwrap_or_default();
            a.at >= from && a.at < (from + second).min(end) && sent_at + ms(100) >= from
        };
        (cold.iter().filter(inside).count(), from)
    });
    let (most, from) = counts.max().unwrap_or((0, start));
    Verdict {
        broken: most as f64 > COLD_BOUND,
        text: format!(
            "FAILBACK: {most} requests reached the cold replica {replica} in the second from {:.3} s; \
             {COLD_BOUND} may. It was cold from {:.3} s on.",
            from.as_secs_f64(),
            start.as_secs_f64()
        ),
    }
}

const RATIO: f64 = 0.2;
const SLACK: f64 = 90.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Arrivals beyond the first of each request, in any window, against the bound of the rule.
fn judge_budget(record: &Record) -> Verdict {
    let mut seen = BTreeSet::new();
    let mut again = Vec::new();
    for arrival in record.arrivals() {
        if !seen.insert(arrival.request) {
            again.push(arrival.at);
        }
    }
    let sent: Vec<Duration> = record.requests().into_iter().map(|(at, _)| at).collect();
    let within = |times: &[Duration], from: Duration| {
        let until = from + WINDOW;
        times.iter().filter(|t| **t >= from && **t < until).count()
    };
    let (mut worst, mut text) = (f64::MIN, String::new());
    for from in &again {
        let back = [Duration::ZERO, WINDOW / 2, WINDOW];
        let counts = back.map(|b| within(&sent, from.saturating_sub(b)));
        let requests = counts.into_iter().max().unwrap_or(0);
        let (extra, bound) = (within(&again, *from), RATIO * requests as f64 + SLACK);
        if extra as f64 - bound > worst {
            worst = extra as f64 - bound;
            text = format!(
                "BUDGET: from {:.3} s, {extra} arrivals beyond the first of each request in 10 s; \
                 {bound:.0} may be, with {requests} requests.",
                from.as_secs_f64()
            );
        }
    }
    Verdict {
        broken: worst > 0.0,
        text,
    }
}
