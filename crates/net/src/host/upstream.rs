//! The process next to an upstream.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use eelgrasshold_core::config::Config;
use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::fleet::{
    FleetSettings, FleetUpstream, Input as FleetInput, Output as FleetOutput,
};
use eelgrasshold_core::serving::queue::Policy;
use eelgrasshold_core::upstream::Upstream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::base::Base;
use super::fleet::FleetDriver;
use super::{Drained, EngineOptions, HostOptions, StartError, new_incarnation};
use crate::admin::Status;
use crate::control::Message;
use crate::http::{Limits, Server};
use crate::upstream::{Engine, UpstreamDriver};

/// Limit of concurrent HTTP/2 streams on one connection of an entry host.
const MAX_STREAMS_PER_CONNECTION: u32 = 10_000;

#[derive(Default)]
struct Shared {
    cfg: RwLock<Option<Arc<Config>>>,
    draining: AtomicBool,
    drain_requested: Notify,
}

/// A running process next to an upstream: it queues dispatches and passes them to the engine.
pub struct UpstreamHost {
    options: HostOptions,
    base: Base,
    shared: Arc<Shared>,
    driver: Arc<UpstreamDriver>,
    fleet: Arc<FleetDriver<FleetUpstream>>,
    tasks: Vec<JoinHandle<()>>,
    data_task: JoinHandle<()>,
}

impl std::fmt::Debug for UpstreamHost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamHost")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl UpstreamHost {
    /// Binds the listeners and starts the process.
    ///
    /// # Errors
    ///
    /// If an address can't be bound or is unspecified, or if the metrics can't be set up.
    pub async fn start(options: HostOptions, engine: EngineOptions) -> Result<Self, StartError> {
        let mut base = Base::new(&options).await?;
        let shared = Arc::new(Shared::default());
        let incarnation = new_incarnation();
        let driver = UpstreamDriver::new(
            Upstream::new(Policy::builder().build().concurrency()),
            Engine::new(engine.address.clone(), engine.kind),
            incarnation,
            Arc::clone(&base.timeline),
        );
        let fleet = start_fleet(&options, &engine, &base, &shared, &driver);
        base.timeline
            .record(Event::new(EventKind::DaemonStarted, "upstream process"));
        let mut tasks = vec![
            tokio::spawn(Arc::clone(&driver).run_timers()),
            tokio::spawn(Arc::clone(&fleet).run(base.shutdown.clone())),
        ];
        let receiver = Arc::clone(&fleet);
        tasks.extend(base.serve_control(&options, move |message| {
            if let Message::Fleet(message) = message {
                receiver.receive(message);
            }
        }));
        let status = status(&base, &options, &shared, &driver);
        let (config_source, drain_signal) = (Arc::clone(&shared), Arc::clone(&shared));
        tasks.extend(base.serve_admin(
            &options,
            status,
            move || {
                config_source
                    .cfg
                    .read()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone()
            },
            move || drain_signal.drain_requested.notify_one(),
        ));
        let data_task = serve_dispatches(&mut base, &options, &driver);
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

    /// Address on which it accepts dispatches, with the actual port.
    #[must_use]
    pub fn data_address(&self) -> SocketAddr {
        self.base.data.address
    }

    /// Address on which it serves operators, with the actual port.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.base.admin.address
    }

    /// Waits until an operator requests a graceful shutdown on the admin address.
    pub async fn drain_requested(&self) {
        self.shared.drain_requested.notified().await;
    }

    /// Announces the shutdown, refuses new work, lets running work end, and stops. When
    /// `stop_now` completes, the wait ends before the drain limit.
    pub async fn close(mut self, stop_now: impl Future<Output = ()>) -> Drained {
        let event = Event::new(EventKind::DrainStarted, "leaving the fleet");
        self.base.timeline.record(event);
        self.shared.draining.store(true, Ordering::Relaxed);
        self.fleet.handle_input(FleetInput::Leave);
        self.driver.leave();
        tokio::select! {
            _ = tokio::time::timeout(self.options.drain_limit, self.driver.drained()) => {}
            () = stop_now => {}
        }
        let open = u64::from(self.driver.load().in_flight);
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

    /// Stops at once; running requests are cut.
    pub fn abort(self) {
        self.stop();
    }

    fn stop(self) {
        let open = u64::from(self.driver.load().in_flight);
        self.base.stop(open, self.tasks, &self.data_task);
    }
}

fn start_fleet(
    options: &HostOptions,
    engine: &EngineOptions,
    base: &Base,
    shared: &Arc<Shared>,
    driver: &Arc<UpstreamDriver>,
) -> Arc<FleetDriver<FleetUpstream>> {
    let settings = FleetSettings::new(
        &options.host,
        &options.region,
        &options.data_centre,
        &base.control.address.to_string(),
    )
    .service(&engine.service)
    .data_address(&base.data.address.to_string())
    .admin_address(&base.admin.address.to_string())
    .incarnation(driver.incarnation())
    .seeds(options.seeds.clone());
    let machine = FleetUpstream::new(settings, options.seed);
    let (shared, driver) = (Arc::clone(shared), Arc::clone(driver));
    let service = engine.service.clone();
    let on_output = move |_: &FleetUpstream, output| match output {
        FleetOutput::ConfigInForce(cfg) => {
            driver.set_policy(Policy::of_service(&cfg, &service));
            *shared.cfg.write().unwrap_or_else(PoisonError::into_inner) = Some(cfg);
        }
        FleetOutput::Incarnation(incarnation) => driver.set_incarnation(incarnation),
        other => log::debug!("ignoring an output that this process does not handle: {other:?}"),
    };
    FleetDriver::new(machine, FleetUpstream::handle, base, Box::new(on_output))
}

fn serve_dispatches(
    base: &mut Base,
    options: &HostOptions,
    driver: &Arc<UpstreamDriver>,
) -> JoinHandle<()> {
    let Some(listener) = base.data.listener.take() else {
        return tokio::spawn(std::future::ready(()));
    };
    let limits = Limits::builder()
        .header_bytes(64 * 1_024)
        .streams(MAX_STREAMS_PER_CONNECTION)
        .build();
    let server = Server::new(listener, limits, options.identity.clone());
    let driver = Arc::clone(driver);
    let serve = move |request| Arc::clone(&driver).serve(request);
    tokio::spawn(server.run(base.stop_accepting.clone(), serve))
}

fn status(
    base: &Base,
    options: &HostOptions,
    shared: &Arc<Shared>,
    driver: &Arc<UpstreamDriver>,
) -> impl Fn() -> Status + use<> {
    let common = base.status(options, "upstream");
    let (shared, driver) = (Arc::clone(shared), Arc::clone(driver));
    move || {
        let cfg = shared
            .cfg
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let draining = shared.draining.load(Ordering::Relaxed);
        let load = driver.load();
        Status {
            ready: !draining,
            reason: if draining {
                "draining".to_owned()
            } else {
                String::new()
            },
            revision: cfg.map_or(0, |cfg| cfg.revision),
            draining,
            held: u64::from(load.in_flight + load.queued),
            load,
            incarnation: driver.incarnation(),
            ..common()
        }
    }
}
