//! Object store with lists, watches and conditional writes. Objects are identified by kind and name.

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

/// Maximum number of objects on one page of a list.
const PAGE_SIZE: usize = 500;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AccessMode {
    /// Calls are executed.
    #[default]
    Open,
    /// Calls are refused with status 503.
    Busy,
    /// Connections are closed without an answer.
    Reset,
    /// Calls get no answer and stay open.
    Unresponsive,
}

#[derive(Clone, Debug)]
struct StoredObject {
    rev: u64,
    created: u64,
    spec: Value,
}

#[derive(Clone, Debug)]
struct HistoryEntry {
    rev: u64,
    kind: String,
    event: Value,
}

/// Copy of the objects of a store at some time.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    rev: u64,
    objects: BTreeMap<(String, String), StoredObject>,
}

impl StoreCopy {
    /// Writes the objects to a store that has lost them, as their writers do after a restore. What was
    /// written there since stays.
    pub fn write_again(&self, store: &ObjectStore) {
        for ((kind, name), object) in &self.objects {
            let current = store.get(kind, name);
            let is_newer =
                kind == "config" && version_of(current.as_ref()) > version_of(Some(&object.spec));
            if current.as_ref() != Some(&object.spec) && !is_newer {
                store.put(kind, name, object.spec.clone());
            }
        }
    }
}

/// Version of a configuration; 0 without one.
fn version_of(spec: Option<&Value>) -> u64 {
    spec.and_then(|s| s["version"].as_u64()).unwrap_or(0)
}

#[derive(Debug, Default)]
struct State {
    /// Number of restores from a copy.
    era: u64,
    rev: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    history: VecDeque<HistoryEntry>,
    /// Revision up to which the history was compacted. Watches from an older revision get status
    /// 410.
    compacted_rev: u64,
    access: AccessMode,
    calls: u64,
    calls_by_kind: BTreeMap<String, u64>,
    /// Number of times that the waiting watches were abandoned.
    abandoned: u64,
}

/// Handle of a running store.
pub struct ObjectStore {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl ObjectStore {
    /// Starts an empty store on an ephemeral port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start() -> Result<Self, StartError> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                era: 1,
                rev: 1,
                ..State::default()
            }),
            changed: watch::Sender::new(1),
        });
        let handler_shared = Arc::clone(&shared);
        let bound = BoundServer::new()?;
        let server = bound.serve(Arc::new(move |request| {
            let shared = Arc::clone(&handler_shared);
            Box::pin(async move { shared.handle(request).await })
        }));
        Ok(Self { server, shared })
    }

    /// Address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Number of calls received, including refused ones and waiting watches.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Number of calls about a kind that were executed, including waiting watches.
    #[must_use]
    pub fn calls_about(&self, kind: &str) -> u64 {
        let state = self.shared.lock();
        state.calls_by_kind.get(kind).copied().unwrap_or_default()
    }

    /// Changes how calls are handled. Unless the new mode is [`AccessMode::Open`], the connections
    /// of waiting watches are closed.
    pub fn set_access(&self, access: AccessMode) {
        self.shared.lock().access = access;
        self.shared.changed.send_modify(|_| {});
    }

    /// Never answers the watches that are waiting now, and leaves their connections open, as when
    /// their answers are lost on the way. Later calls are executed.
    pub fn abandon_waiting_watches(&self) {
        self.shared.lock().abandoned += 1;
        self.shared.changed.send_modify(|_| {});
    }

    /// Creates or replaces an object without a condition.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.change(kind, name, Some(spec));
    }

    /// Deletes an object without a condition. Watches get an event even if it did not exist.
    pub fn delete(&self, kind: &str, name: &str) {
        self.shared.change(kind, name, None);
    }

    /// Copies all objects.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let state = self.shared.lock();
        StoreCopy {
            rev: state.rev,
            objects: state.objects.clone(),
        }
    }

    /// Goes back to a copy: later changes are lost, their revisions are given out again, and a new era
    /// begins.
    pub fn restore(&self, copy: StoreCopy) {
        {
            let mut state = self.shared.lock();
            state.era += 1;
            state.rev = copy.rev;
            state.objects = copy.objects;
            state.history.retain(|entry| entry.rev <= copy.rev);
        }
        self.shared.changed.send_modify(|_| {});
    }

    /// Discards the history of changes. The next watch from an older revision gets status 410.
    pub fn compact_history(&self) {
        let mut state = self.shared.lock();
        state.compacted_rev = state.rev;
        state.history.clear();
    }

    /// The `spec` of an object; `None` if it doesn't exist.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.shared.lock().objects.get(&key).map(|s| s.spec.clone())
    }

    /// Closes all connections and stops listening.
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
            let stored = StoredObject { rev, created, spec };
            let object = to_wire(name, &stored);
            state.objects.insert(key, stored);
            object
        } else {
            state.objects.remove(&key);
            json!({ "meta": { "name": name, "rev": rev }, "spec": null, "status": null })
        };
        state.history.push_back(HistoryEntry {
            rev,
            kind: kind.to_owned(),
            event: json!({ "object": object, "deleted": deleted }),
        });
        drop(state);
        self.changed.send_replace(rev);
        object
    }

    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        let mut answer = self.execute(request).await?;
        let era = self.lock().era;
        answer.headers_mut().insert("store-era", era.into());
        Ok(answer)
    }

    async fn execute(&self, request: Request<Incoming>) -> HandlerResult {
        let access = {
            let mut state = self.lock();
            state.calls += 1;
            state.access
        };
        match access {
            AccessMode::Open => {}
            AccessMode::Busy => return Ok(http_util::empty(StatusCode::SERVICE_UNAVAILABLE)),
            AccessMode::Reset => return Err(Hangup),
            AccessMode::Unresponsive => return std::future::pending().await,
        }
        let path = request.uri().path().to_owned();
        let Some(path) = path.strip_prefix("/objects/") else {
            return Ok(http_util::empty(StatusCode::NOT_FOUND));
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        *self
            .lock()
            .calls_by_kind
            .entry(kind.to_owned())
            .or_default() += 1;
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
        let listed = state
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && *n > after);
        let mut items: Vec<Value> = listed.map(|((_, name), s)| to_wire(name, s)).collect();
        let has_more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        let page = json!({ "items": items, "has_more": has_more, "current_rev": state.rev });
        http_util::json(StatusCode::OK, &page)
    }

    fn read(&self, kind: &str, name: &str) -> Response<Body> {
        let key = (kind.to_owned(), name.to_owned());
        match self.lock().objects.get(&key) {
            Some(stored) => http_util::json(StatusCode::OK, &to_wire(name, stored)),
            None => http_util::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, kind: &str, after: &str, query: Option<&str>) -> HandlerResult {
        let after: u64 = after.parse().unwrap_or(0);
        let wait_ms = query_value(query, "wait_ms").and_then(|w| w.parse().ok());
        let wait = Duration::from_millis(wait_ms.unwrap_or(0));
        let mut changed = self.changed.subscribe();
        let abandoned = self.lock().abandoned;
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            if self.lock().abandoned != abandoned {
                return std::future::pending().await;
            }
            if let Some(answer) = self.events(kind, after) {
                return answer;
            }
            if tokio::time::timeout_at(deadline, changed.changed())
                .await
                .is_err()
            {
                let rev = self.lock().rev;
                let no_events = json!({ "events": [], "current_rev": rev });
                return Ok(http_util::json(StatusCode::OK, &no_events));
            }
        }
    }

    fn events(&self, kind: &str, after: u64) -> Option<HandlerResult> {
        let state = self.lock();
        if state.access != AccessMode::Open {
            return Some(Err(Hangup));
        }
        if after < state.compacted_rev || after > state.rev {
            return Some(Ok(http_util::empty(StatusCode::GONE)));
        }
        let newer = state
            .history
            .iter()
            .filter(|p| p.rev > after && p.kind == kind);
        let events: Vec<&Value> = newer.map(|p| &p.event).collect();
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
        let body_name = object["meta"]["name"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let name = name.map_or(body_name, str::to_owned);
        let key = (kind.to_owned(), name.clone());
        let current = self.lock().objects.get(&key).cloned();
        let conflict = match (&current, object["meta"]["rev"].as_u64()) {
            (Some(current), Some(rev)) => current.rev != rev,
            (None, Some(_)) => true,
            (current, None) => current.is_some(),
        };
        if conflict {
            let current = current.map(|p| to_wire(&name, &p));
            return Ok(http_util::json(StatusCode::CONFLICT, &current));
        }
        let written = self.change(kind, &name, Some(object["spec"].clone()));
        Ok(http_util::json(StatusCode::OK, &written))
    }
}

fn to_wire(name: &str, stored: &StoredObject) -> Value {
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
