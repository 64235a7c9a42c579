//! A stand-in of the platform's store: objects by kind and name, lists and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, write_answer};

#[derive(Default)]
struct State {
    rev: u64,
    /// Revision and spec, by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind and event.
    history: Vec<(u64, String, String)>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

fn object(name: &str, rev: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{rev},\"created\":{rev},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(State {
                rev: 10,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes or deletes an object. The return is the acknowledgement.
    pub fn change(&self, kind: &str, name: &str, spec: Option<&str>) -> String {
        let mut state = self.state.lock().expect("the state");
        state.rev += 1;
        let rev = state.rev;
        let key = (kind.to_owned(), name.to_owned());
        let text = object(name, rev, spec.unwrap_or("null"));
        match spec {
            Some(spec) => state.objects.insert(key, (rev, spec.to_owned())),
            None => state.objects.remove(&key),
        };
        let event = format!("{{\"object\":{text},\"deleted\":{}}}", spec.is_none());
        state.history.push((rev, kind.to_owned(), event));
        drop(state);
        self.changed.notify_all();
        text
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buf) {
            let (status, body) = self.answer(&request);
            let json = [("Content-Type", "application/json")];
            if write_answer(&mut stream, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = match request.target.split_once('?') {
            Some((path, query)) => (path, query),
            None => (request.target.as_str(), ""),
        };
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let Some(path) = path.strip_prefix("/objects/") else {
            return (404, String::new());
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, name.to_owned()),
            None => (path, String::new()),
        };
        match (request.method.as_str(), name.is_empty()) {
            ("GET", true) => match value("watch") {
                Some(after) => {
                    let wait = value("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, after.parse().unwrap_or(0), wait)
                }
                None => self.list(kind, &value("after").unwrap_or_default()),
            },
            ("GET", false) => {
                let state = self.state.lock().expect("the state");
                match state.objects.get(&(kind.to_owned(), name.clone())) {
                    Some((rev, spec)) => (200, object(&name, *rev, spec)),
                    None => (404, String::new()),
                }
            }
            ("DELETE", false) => (200, self.change(kind, &name, None)),
            ("POST", true) | ("PUT", false) => self.write(kind, &name, &request.body),
            _ => (405, String::new()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().expect("the state");
        let of_kind = state
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && n.as_str() > after);
        let items: Vec<String> = of_kind.map(|((_, n), (r, s))| object(n, *r, s)).collect();
        let (items, rev) = (items.join(","), state.rev);
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{rev}}}"),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().expect("the state");
        loop {
            let newer = state
                .history
                .iter()
                .filter(|(rev, k, _)| *rev > after && k == kind);
            let events: Vec<&str> = newer.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, rev) = (events.join(","), state.rev);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"current_rev\":{rev}}}"),
                );
            }
            state = self.changed.wait_timeout(state, left).expect("the state").0;
        }
    }

    /// A conditional write. The bodies of the system are compact, with `meta` before `spec`.
    fn write(&self, kind: &str, name: &str, body: &[u8]) -> (u16, String) {
        let body = String::from_utf8_lossy(body).into_owned();
        let Some((meta, spec)) = body.split_once(",\"spec\":") else {
            return (400, String::new());
        };
        let named = text_after(meta, "\"name\":\"")
            .split('"')
            .next()
            .unwrap_or_default();
        let name = if name.is_empty() { named } else { name };
        let rev = text_after(meta, "\"rev\":");
        let digits: String = rev.chars().take_while(char::is_ascii_digit).collect();
        let condition: Option<u64> = digits.parse().ok();
        {
            let state = self.state.lock().expect("the state");
            let known = state.objects.get(&(kind.to_owned(), name.to_owned()));
            let conflict = match (known, condition) {
                (Some((known, _)), Some(rev)) => *known != rev,
                (known, rev) => known.is_some() || rev.is_some(),
            };
            if conflict {
                let text = known.map(|(rev, spec)| object(name, *rev, spec));
                return (409, text.unwrap_or_else(|| "null".to_owned()));
            }
        }
        let spec = spec.strip_suffix('}').unwrap_or(spec);
        (200, self.change(kind, name, Some(spec)))
    }
}

fn text_after<'a>(text: &'a str, mark: &str) -> &'a str {
    text.split_once(mark).map_or("", |(_, rest)| rest)
}
