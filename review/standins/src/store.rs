//! The platform's store: objects by kind and name, lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Reader, Request};

struct State {
    rev: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    history: Vec<(u64, String, Value)>,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store on loopback.
    pub fn start() -> Self {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
            crate::not_run("the store can't listen")
        };
        let Ok(address) = listener.local_addr() else {
            crate::not_run("no address")
        };
        let state = State {
            rev: 7,
            objects: BTreeMap::new(),
            history: Vec::new(),
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let served = store.clone();
        http::serve(listener, move |stream, _| {
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = Reader::new(stream);
            while let Ok(Some(request)) = reader.request() {
                // An answer takes 4 ms.
                std::thread::sleep(Duration::from_millis(4));
                let (status, body) = served.answer(&request);
                let extra = "Content-Type: application/json\r\n";
                let body = body.to_string().into_bytes();
                if http::respond(&mut writer, status, extra, &body).is_err() {
                    return;
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Writes an object; the return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.change(kind, name, Some(spec));
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Value>) -> Value {
        let mut state = self.lock();
        state.rev += 1;
        let rev = state.rev;
        let key = (kind.to_owned(), name.to_owned());
        let deleted = spec.is_none();
        let object = wire(name, rev, spec.as_ref().unwrap_or(&Value::Null));
        match spec {
            Some(spec) => drop(state.objects.insert(key, (rev, spec))),
            None => drop(state.objects.remove(&key)),
        }
        let event = json!({ "object": object, "deleted": deleted });
        state.history.push((rev, kind.to_owned(), event));
        drop(state);
        self.shared.1.notify_all();
        object
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        let Some(rest) = request.path.strip_prefix("/objects/") else {
            return (404, Value::Null);
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        match (request.method.as_str(), name) {
            ("GET", None) => match request.param("watch") {
                Some(after) => self.watch(kind, after.parse().unwrap_or(0), request),
                None => self.list(kind, request.param("after").unwrap_or_default()),
            },
            ("GET", Some(name)) => self.get(kind, name),
            ("POST", None) => self.write(kind, None, &request.body),
            ("PUT", Some(name)) => self.write(kind, Some(name), &request.body),
            ("DELETE", Some(name)) => (200, self.change(kind, name, None)),
            _ => (404, Value::Null),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Value) {
        let key = (kind.to_owned(), name.to_owned());
        match self.lock().objects.get(&key) {
            Some((rev, spec)) => (200, wire(name, *rev, spec)),
            None => (404, Value::Null),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Value) {
        let state = self.lock();
        let of_kind = state.objects.iter();
        let of_kind = of_kind.filter(|((k, n), _)| k == kind && n.as_str() > after);
        let mut items: Vec<Value> = of_kind.map(|((_, n), (r, s))| wire(n, *r, s)).collect();
        let has_more = items.len() > 500;
        items.truncate(500);
        (
            200,
            json!({ "items": items, "has_more": has_more, "current_rev": state.rev }),
        )
    }

    fn watch(&self, kind: &str, after: u64, request: &Request) -> (u16, Value) {
        let wait = request.param("wait_ms").and_then(|w| w.parse().ok());
        let end = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut state = self.lock();
        loop {
            let newer = state.history.iter();
            let newer = newer.filter(|(r, k, _)| *r > after && k == kind);
            let events: Vec<&Value> = newer.map(|(_, _, e)| e).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({ "events": events, "current_rev": state.rev }));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, body: &[u8]) -> (u16, Value) {
        let object: Value = serde_json::from_slice(body).unwrap_or_default();
        let own = object["meta"]["name"].as_str().unwrap_or_default();
        let name = name.unwrap_or(own);
        let key = (kind.to_owned(), name.to_owned());
        let known = self.lock().objects.get(&key).cloned();
        let conflict = match (&known, object["meta"]["rev"].as_u64()) {
            (Some((rev, _)), Some(asked)) => *rev != asked,
            (None, Some(_)) => true,
            (known, None) => known.is_some(),
        };
        if conflict {
            let known = known.map_or(Value::Null, |(r, s)| wire(name, r, &s));
            return (409, known);
        }
        (200, self.change(kind, name, Some(object["spec"].clone())))
    }
}

fn wire(name: &str, rev: u64, spec: &Value) -> Value {
    json!({
        "meta": { "name": name, "rev": rev, "created": 1, "finalizers": [], "deleting": false },
        "spec": spec,
        "status": null,
    })
}
