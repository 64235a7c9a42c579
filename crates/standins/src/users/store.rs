//! The store: objects by kind and name, lists, watches, conditional writes.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::http_util::{self, Body, HandlerResult, Hangup, query_value};
use crate::server::{BoundServer, Server, StartError};

/// Objects on one page.
const PAGE: usize = 500;

/// What the store does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Access {
    /// It answers.
    #[default]
    Open,
    /// It refuses with 503.
    Busy,
    /// It closes the connection without an answer.
    Reset,
    /// It never answers.
    Silent,
}

#[derive(Clone, Debug)]
struct Stored {
    rev: u64,
    created: u64,
    spec: Value,
}

#[derive(Clone, Debug)]
struct Past {
    rev: u64,
    kind: String,
    event: Value,
}

#[derive(Debug, Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Stored>,
    history: VecDeque<Past>,
    /// Revision up to which the history is forgotten.
    forgotten: u64,
    access: Access,
    calls: u64,
}

/// A running store.
pub struct UsersStore {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl UsersStore {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// If no port on loopback can be bound.
    pub fn start() -> Result<Self, StartError> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                rev: 1,
                ..State::default()
            }),
            changed: watch::Sender::new(1),
        });
        let handling = Arc::clone(&shared);
        let bound = BoundServer::new()?;
        let server = bound.serve(Arc::new(move |request| {
            let shared = Arc::clone(&handling);
            Box::pin(async move { shared.handle(request).await })
        }));
        Ok(Self { server, shared })
    }

    /// Address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Calls that were made, waiting watches included.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Changes what the store does with calls; waiting watches end.
    pub fn set_access(&self, access: Access) {
        self.shared.lock().access = access;
        self.shared.changed.send_modify(|_| {});
    }

    /// Puts an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.change(kind, name, Some(spec));
    }

    /// Deletes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        self.shared.change(kind, name, None);
    }

    /// Forgets the history; waiting watches are told when they come again.
    pub fn forget_history(&self) {
        let mut state = self.shared.lock();
        state.forgotten = state.rev;
        state.history.clear();
    }

    /// An object's content.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.shared.lock().objects.get(&key).map(|s| s.spec.clone())
    }

    /// Closes all connections and the port.
    pub async fn close(self) {
        self.server.close().await;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Value>) -> Value {
        let mut state = self.lock();
        state.rev += 1;
        let rev = state.rev;
        let key = (kind.to_owned(), name.to_owned());
        let deleted = spec.is_none();
        let object = if let Some(spec) = spec {
            let created = state.objects.get(&key).map_or(rev, |s| s.created);
            let stored = Stored { rev, created, spec };
            let object = wire(name, &stored);
            state.objects.insert(key, stored);
            object
        } else {
            state.objects.remove(&key);
            json!({ "meta": { "name": name, "rev": rev }, "spec": null, "status": null })
        };
        state.history.push_back(Past {
            rev,
            kind: kind.to_owned(),
            event: json!({ "object": object, "deleted": deleted }),
        });
        drop(state);
        self.changed.send_replace(rev);
        object
    }

    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        let access = {
            let mut state = self.lock();
            state.calls += 1;
            state.access
        };
        match access {
            Access::Open => {}
            Access::Busy => return Ok(http_util::empty(StatusCode::SERVICE_UNAVAILABLE)),
            Access::Reset => return Err(Hangup),
            Access::Silent => return std::future::pending().await,
        }
        let path = request.uri().path().to_owned();
        let Some(path) = path.strip_prefix("/objects/") else {
            return Ok(http_util::empty(StatusCode::NOT_FOUND));
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let query = request.uri().query().map(str::to_owned);
        let query = query.as_deref();
        match (request.method().as_str(), name) {
            ("GET", None) => match query_value(query, "watch") {
                Some(after) => self.watch(kind, &after, query).await,
                None => Ok(self.list(kind, query)),
            },
            ("GET", Some(name)) => Ok(self.read(kind, name)),
            ("POST", None) => self.write(kind, None, request.into_body()).await,
            ("PUT", Some(name)) => self.write(kind, Some(name), request.into_body()).await,
            ("DELETE", Some(name)) => {
                self.change(kind, name, None);
                Ok(http_util::empty(StatusCode::OK))
            }
            _ => Ok(http_util::empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    fn list(&self, kind: &str, query: Option<&str>) -> Response<Body> {
        let after = query_value(query, "after").unwrap_or_default();
        let state = self.lock();
        let of_kind = state
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && *n > after);
        let mut items: Vec<Value> = of_kind.map(|((_, name), s)| wire(name, s)).collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        let page = json!({ "items": items, "has_more": more, "current_rev": state.rev });
        http_util::json(StatusCode::OK, &page)
    }

    fn read(&self, kind: &str, name: &str) -> Response<Body> {
        let key = (kind.to_owned(), name.to_owned());
        match self.lock().objects.get(&key) {
            Some(stored) => http_util::json(StatusCode::OK, &wire(name, stored)),
            None => http_util::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, kind: &str, after: &str, query: Option<&str>) -> HandlerResult {
        let after: u64 = after.parse().unwrap_or(0);
        let wait_ms = query_value(query, "wait_ms").and_then(|w| w.parse().ok());
        let wait = Duration::from_millis(wait_ms.unwrap_or(0));
        let mut changed = self.changed.subscribe();
        let ends = tokio::time::Instant::now() + wait;
        loop {
            if let Some(answer) = self.events(kind, after) {
                return answer;
            }
            if tokio::time::timeout_at(ends, changed.changed())
                .await
                .is_err()
            {
                let rev = self.lock().rev;
                let none = json!({ "events": [], "current_rev": rev });
                return Ok(http_util::json(StatusCode::OK, &none));
            }
        }
    }

    fn events(&self, kind: &str, after: u64) -> Option<HandlerResult> {
        let state = self.lock();
        if state.access != Access::Open {
            return Some(Err(Hangup));
        }
        if after < state.forgotten {
            return Some(Ok(http_util::empty(StatusCode::GONE)));
        }
        let new = state
            .history
            .iter()
            .filter(|p| p.rev > after && p.kind == kind);
        let events: Vec<&Value> = new.map(|p| &p.event).collect();
        if events.is_empty() {
            return None;
        }
        let body = json!({ "events": events, "current_rev": state.rev });
        Some(Ok(http_util::json(StatusCode::OK, &body)))
    }

    async fn write(&self, kind: &str, name: Option<&str>, body: Incoming) -> HandlerResult {
        let object: Value = match http_util::read_json(body, 2 << 20).await {
            Ok(object) => object,
            Err(refusal) => return Ok(refusal),
        };
        let named = object["meta"]["name"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let name = name.map_or(named, str::to_owned);
        let key = (kind.to_owned(), name.clone());
        let present = self.lock().objects.get(&key).cloned();
        let conflict = match (&present, object["meta"]["rev"].as_u64()) {
            (Some(present), Some(rev)) => present.rev != rev,
            (None, Some(_)) => true,
            (present, None) => present.is_some(),
        };
        if conflict {
            let present = present.map(|p| wire(&name, &p));
            return Ok(http_util::json(StatusCode::CONFLICT, &present));
        }
        let written = self.change(kind, &name, Some(object["spec"].clone()));
        Ok(http_util::json(StatusCode::OK, &written))
    }
}

fn wire(name: &str, stored: &Stored) -> Value {
    json!({
        "meta": {
            "name": name,
            "rev": stored.rev,
            "created": stored.created,
            "finalizers": [],
            "deleting": false,
        },
        "spec": stored.spec,
        "status": null,
    })
}
