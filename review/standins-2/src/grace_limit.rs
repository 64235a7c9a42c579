//! Starts gateways on settings with a `grace_s` that is a fraction, and asks them whether they are ready.

#[allow(dead_code)]
#[path = "http.rs"]
mod http;
#[allow(dead_code)]
#[path = "place.rs"]
mod place;

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use http::{Request, Server};
use place::{Place, Process};

const HOSTS: usize = 3;
const LENGTH: Duration = Duration::from_secs(12);

fn object(name: &str, rev: u32, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{rev},\"created\":{rev},\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{spec},\"status\":null}}"
    )
}

fn config() -> String {
    "{\"version\":3,\"routes\":[{\"name\":\"safe\",\"host\":\"h.example\",\"path_prefix\":\"/safe/\",\"type\":\"safe\",\
     \"timeout_ms\":1200,\"target_latency_ms\":150,\"priority\":1,\"service\":\"s\",\"attempts\":2,\"public\":true,\
     \"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\
     \"max_conns\":100}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}"
        .to_owned()
}

fn store(request: &Request, replica: SocketAddr) -> (u16, String) {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    if request.method != "GET" {
        return (200, object("x", 50, "null"));
    }
    if query.contains("watch=") {
        let wait = query
            .split('&')
            .find_map(|part| part.strip_prefix("wait_ms="));
        let wait = wait.and_then(|ms| ms.parse().ok()).unwrap_or(0);
        thread::sleep(Duration::from_millis(wait));
        return (200, "{\"events\":[],\"current_rev\":40}".to_owned());
    }
    let server = format!(
        "{{\"service\":\"s\",\"addr\":\"{replica}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1000}}"
    );
    let items = match path {
        "/objects/config" => object("main", 2, &config()),
        "/objects/servers" => object("i-0", 3, &server),
        _ => String::new(),
    };
    (
        200,
        format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":40}}"),
    )
}

/// What `deploy/gateway.json` becomes.
fn settings(place: &Place, index: usize, platform: SocketAddr, grace_s: &str) -> String {
    let ip = place.ip(index);
    let seeds: Vec<String> = (0..HOSTS)
        .map(|i| format!("\"{}:{}\"", place.ip(i), place.port(3)))
        .collect();
    format!(
        "{{\"role\":\"gateway\",\"host\":\"edge-{index}\",\"region\":\"r\",\"data_centre\":\"a\",\
         \"data_address\":\"{ip}:{}\",\"control_address\":\"{ip}:{}\",\"seeds\":[{}],\
         \"platform_url\":\"http://{platform}\",\"drain_limit_s\":{grace_s},\"metrics_address\":\"{ip}:{}\",\
         \"first_start\":true,\"allow_plain_links\":true,\"gateway\":{{\"ready_address\":\"{ip}:{}\",\
         \"directory_address\":\"{ip}:{}\",\"answer_validity_s\":5,\"store_settle_ms\":3000,\"retry_ratio\":0.2,\
         \"retry_allowance\":90,\"retry_window_s\":10,\"memory_mb\":260,\"max_descriptors\":4200,\
         \"pause_control\":true}}}}",
        place.port(1),
        place.port(3),
        seeds.join(","),
        place.port(4),
        place.port(2),
        place.port(5)
    )
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let asked =
        stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n");
    let mut answer = [0; 12];
    asked.is_ok() && stream.read_exact(&mut answer).is_ok() && answer.ends_with(b" 200")
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let grace_s = if trouble { "7.5" } else { "8" };
    let place = Place::new(HOSTS + 2);
    let address = |index: usize| SocketAddr::new(place.ip(index), place.port(0));
    let (platform, replica) = (address(HOSTS), address(HOSTS + 1));
    let answers = Arc::new(move |request: &Request| store(request, replica));
    let store = Server::start(platform, answers).expect("the store's address is free");
    let healthy = Arc::new(|_: &Request| (200, String::new()));
    let replica = Server::start(replica, healthy).expect("the replica's address is free");
    let began = Instant::now();
    let mut hosts: Vec<Process> = (0..HOSTS)
        .map(|i| {
            place.daemon(
                &format!("edge-{i}"),
                &settings(&place, i, platform, grace_s),
            )
        })
        .collect();
    let mut record = format!("grace_s {grace_s}, {HOSTS} gateways\n");
    let mut was_ready = [false; HOSTS];
    let mut has_ended = [false; HOSTS];
    while began.elapsed() < LENGTH {
        thread::sleep(Duration::from_secs(1));
        for (index, host) in hosts.iter_mut().enumerate() {
            has_ended[index] |= host.has_ended();
            let ready = is_ready(SocketAddr::new(place.ip(index), place.port(2)));
            was_ready[index] |= ready;
            let at = began.elapsed().as_secs_f64();
            let _ = writeln!(
                record,
                "{at:8.3}  edge-{index}: /readyz gives 200: {ready}, its process has ended: {}",
                has_ended[index]
            );
        }
    }
    hosts.into_iter().for_each(Process::end);
    store.close();
    replica.close();
    for index in 0..HOSTS {
        let _ = writeln!(
            record,
            "output of edge-{index}, its end: {}",
            place.log(&format!("edge-{index}"))
        );
    }
    let broken = has_ended.iter().any(|ended| *ended);
    let result = if broken {
        ("a program doesn't start: broken", 1)
    } else if was_ready.iter().all(|ready| *ready) {
        ("all programs start and are ready: held", 0)
    } else {
        ("the case could not run: a gateway did not become ready", 2)
    };
    println!("{}", result.0);
    place.finish(&format!("{}\n{record}", result.0));
    std::process::exit(result.1);
}
