//! Process of an entry host: its drivers, listeners and graceful shutdown.

mod membership;
mod peers;
mod status;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use eelgrasshold_core::entry::{Entry, Input as EntryInput, Output as EntryOutput};
use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::fleet::{FleetEntry, Input as FleetInput};
use eelgrasshold_core::types::HostId;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use peers::PeerSender;

use super::base::Base;
use super::fleet::FleetDriver;
use super::{Drained, HostOptions, StartError};
use crate::control::Message;
use crate::entry::{Callbacks, EntryDriver};
use crate::http::{Limits, Server, prior_knowledge_client};

/// Interval at which the host announces its own load.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Number of open requests that counts as 100 % load when `GET /v1/entry-hosts` weights the hosts.
const FULL_LOAD_REQUESTS: usize = 1_000;
/// Longest wait until the entry-host lists that contain this host have expired.
const ANSWER_EXPIRY_TIMEOUT: Duration = Duration::from_secs(30);

/// State that the drivers of one entry host share.
#[derive(Default)]
struct Shared {
    /// JSON body for `GET /v1/entry-hosts`.
    entry_hosts_json: RwLock<Vec<u8>>,
    /// Control addresses of the live entry hosts.
    control_addresses: RwLock<BTreeMap<HostId, String>>,
    /// Notified when no valid entry-host list contains this host any more.
    answers_expired: Notify,
    draining: AtomicBool,
    incarnation: AtomicU64,
    /// Number of upstream processes that are not leaving.
    upstreams: AtomicUsize,
    /// Notified when an operator requests a graceful shutdown.
    drain_requested: Notify,
    driver: OnceLock<Arc<EntryDriver>>,
}

/// A running entry host: it serves callers and sends their requests to upstream processes.
pub struct EntryHost {
    options: HostOptions,
    base: Base,
    shared: Arc<Shared>,
    driver: Arc<EntryDriver>,
    fleet: Arc<FleetDriver<FleetEntry>>,
    tasks: Vec<JoinHandle<()>>,
    data_task: JoinHandle<()>,
}

impl std::fmt::Debug for EntryHost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryHost")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl EntryHost {
    /// Binds the listeners and starts the host.
    ///
    /// # Errors
    ///
    /// If an address can't be bound or is unspecified, or if the metrics can't be set up.
    pub async fn start(options: HostOptions) -> Result<Self, StartError> {
        let mut base = Base::new(&options).await?;
        let shared = Arc::new(Shared::default());
        let driver = start_driver(&options, &base, &shared);
        let fleet = membership::start(&options, &base, &shared, &driver);
        base.timeline
            .record(Event::new(EventKind::DaemonStarted, "entry host"));
        let mut tasks = vec![
            tokio::spawn(Arc::clone(&driver).run_timers()),
            tokio::spawn(Arc::clone(&fleet).run(base.shutdown.clone())),
            tokio::spawn(announce_load(Arc::clone(&driver), Arc::clone(&fleet))),
        ];
        tasks.extend(serve_control(&mut base, &options, &driver, &fleet));
        let status = status::reader(&base, &options, &shared, &driver, &fleet);
        let (config_source, drain_signal) = (Arc::clone(&driver), Arc::clone(&shared));
        tasks.extend(base.serve_admin(
            &options,
            status,
            move || config_source.config(),
            move || drain_signal.drain_requested.notify_one(),
        ));
        let data_task = serve_callers(&mut base, &driver);
        Ok(Self {
            options,
            base,
            shared,
            driver,
            fleet,
            tasks,
            data_task,
        })
    }

    /// Address on which it serves callers, with the actual port.
    #[must_use]
    pub fn data_address(&self) -> SocketAddr {
        self.base.data.address
    }

    /// Address on which it accepts links of other daemons, with the actual port.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.base.control.address
    }

    /// Address on which it serves operators, with the actual port.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.base.admin.address
    }

    /// Revision of the configuration in force; 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.driver.config().map_or(0, |cfg| cfg.revision)
    }

    /// Number of upstream processes that accept requests; leaving ones don't count.
    #[must_use]
    pub fn known_upstreams(&self) -> usize {
        self.shared.upstreams.load(Ordering::Relaxed)
    }

    /// Number of requests that have not ended.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.driver.open_requests()
    }

    /// Waits until an operator requests a graceful shutdown on the admin address.
    pub async fn drain_requested(&self) {
        self.shared.drain_requested.notified().await;
    }

    /// Announces the shutdown, serves until no valid entry-host list contains the host, lets open
    /// requests end, and stops. When `stop_now` completes, the wait ends before the drain limit.
    pub async fn close(mut self, stop_now: impl Future<Output = ()>) -> Drained {
        let limit = self.options.drain_limit;
        tokio::select! {
            _ = tokio::time::timeout(limit, self.drain()) => {}
            () = stop_now => {}
        }
        let open = self.driver.open_requests() as u64;
        if open == 0 {
            self.base.flush(&mut self.data_task).await;
        }
        self.stop();
        if open == 0 {
            Drained::Whole
        } else {
            Drained::Cut(open)
        }
    }

    /// Stops at once; open requests are cut.
    pub fn abort(self) {
        self.stop();
    }

    async fn drain(&self) {
        self.base
            .timeline
            .record(Event::new(EventKind::DrainStarted, "leaving the fleet"));
        self.shared.draining.store(true, Ordering::Relaxed);
        self.fleet.handle_input(FleetInput::Leave);
        let expired = self.shared.answers_expired.notified();
        if tokio::time::timeout(ANSWER_EXPIRY_TIMEOUT, expired)
            .await
            .is_err()
        {
            log::warn!(
                "entry-host lists with this host did not expire within {ANSWER_EXPIRY_TIMEOUT:?}"
            );
        }
        self.driver.drain();
        self.base.stop_accepting.cancel();
        self.driver.drained().await;
    }

    fn stop(self) {
        let open = self.driver.open_requests() as u64;
        self.base.stop(open, self.tasks, &self.data_task);
    }
}

fn start_driver(options: &HostOptions, base: &Base, shared: &Arc<Shared>) -> Arc<EntryDriver> {
    let machine = Entry::new(options.host.clone(), options.seed);
    let json_source = Arc::clone(shared);
    let peer_sender = PeerSender {
        host: options.host.clone(),
        shared: Arc::clone(shared),
        links: Arc::clone(&base.links),
        timeline: Arc::clone(&base.timeline),
    };
    let (platform, driver_source) = (base.platform.clone(), Arc::clone(shared));
    let callbacks = Callbacks {
        entry_hosts: Box::new(move || {
            json_source
                .entry_hosts_json
                .read()
                .unwrap_or_else(PoisonError::into_inner)
                .clone()
        }),
        other_output: Box::new(move |output| match output {
            EntryOutput::Send { to, message } => peer_sender.send(&to, message),
            EntryOutput::Platform { id, call } => {
                let (platform, driver_source) = (platform.clone(), Arc::clone(&driver_source));
                tokio::spawn(async move {
                    let reply = platform.call(&call).await;
                    if let Some(driver) = driver_source.driver.get() {
                        driver.handle_input(EntryInput::Platform { id, reply });
                    }
                });
            }
            other => log::debug!("ignoring an output that this process does not handle: {other:?}"),
        }),
    };
    let client = prior_knowledge_client(options.identity.clone());
    let driver = EntryDriver::new(
        machine,
        base.clock,
        Arc::clone(&base.timeline),
        callbacks,
        client,
    );
    // The cell is empty: only this function sets it, once per host.
    let _ = shared.driver.set(Arc::clone(&driver));
    driver
}

fn serve_control(
    base: &mut Base,
    options: &HostOptions,
    driver: &Arc<EntryDriver>,
    fleet: &Arc<FleetDriver<FleetEntry>>,
) -> Option<JoinHandle<()>> {
    let (driver, fleet) = (Arc::clone(driver), Arc::clone(fleet));
    let timeline = Arc::clone(&base.timeline);
    base.serve_control(options, move |message| match message {
        Message::Fleet(message) => fleet.receive(message),
        Message::Peer {
            from,
            clock,
            message,
        } => {
            timeline.observe(clock);
            driver.handle_input(EntryInput::Peer { from, message });
        }
    })
}

fn serve_callers(base: &mut Base, driver: &Arc<EntryDriver>) -> JoinHandle<()> {
    let Some(listener) = base.data.listener.take() else {
        return tokio::spawn(std::future::ready(()));
    };
    let server = Server::new(listener, Limits::builder().build(), None);
    let driver = Arc::clone(driver);
    let serve = move |request| Arc::clone(&driver).serve(request);
    tokio::spawn(server.run(base.stop_accepting.clone(), serve))
}

async fn announce_load(driver: Arc<EntryDriver>, fleet: Arc<FleetDriver<FleetEntry>>) {
    loop {
        tokio::time::sleep(LOAD_INTERVAL).await;
        let percent = (driver.open_requests() * 100 / FULL_LOAD_REQUESTS).min(100);
        fleet.handle_input(FleetInput::Load(u8::try_from(percent).unwrap_or(100)));
    }
}
