//! Upstream processes: the machine with a simulated driver.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshold_core::entry::{AttemptEvent, UpstreamInfo};
use eelgrasshold_core::types::{AttemptId, HostId, Now, Run};
use eelgrasshold_core::upstream::{Bounce, EngineEvent, Input, Output, Timer, Upstream};
use rand::Rng;

use super::connection::Stage;
use super::engines::{CONCURRENCY, Task};
use super::simulation::{Event, Simulation};

/// Time after its last work for which a leaving process still bounces dispatches in transit.
const LINGER_AFTER_DRAIN: Duration = Duration::from_secs(4);

/// Input of an upstream process, from entry hosts, its engine or its driver.
#[derive(Clone, Debug)]
pub enum UpstreamInput {
    Work(AttemptId),
    Cancel(AttemptId),
    Chunk {
        attempt: AttemptId,
        first: u32,
        count: u32,
    },
    Done(AttemptId),
    Failed(AttemptId),
    EngineDown,
    EngineUp,
    Leave,
    Timer(Timer),
}

impl UpstreamInput {
    fn is_from_engine(&self) -> bool {
        !matches!(
            self,
            Self::Work(_) | Self::Cancel(_) | Self::Leave | Self::Timer(_)
        )
    }
}

pub struct UpstreamProcess {
    pub machine: Option<Upstream>,
    pub incarnation: u64,
    clock_offset: Duration,
    service: &'static str,
    pub leaving_at: Option<Now>,
    stopping: bool,
    paused: bool,
    backlog: Vec<UpstreamInput>,
    pub engine_up: bool,
    pub tasks: BTreeMap<AttemptId, Task>,
}

impl UpstreamProcess {
    pub fn new(service: &'static str) -> Self {
        Self {
            machine: None,
            incarnation: 0,
            clock_offset: Duration::ZERO,
            service,
            leaving_at: None,
            stopping: false,
            paused: false,
            backlog: Vec::new(),
            engine_up: true,
            tasks: BTreeMap::new(),
        }
    }
}

pub fn upstream_name(slot: usize) -> HostId {
    format!("up-{slot}")
}

impl Simulation {
    pub fn upstream_list(&self) -> Vec<UpstreamInfo> {
        let live = self
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, u)| u.machine.is_some());
        live.map(|(slot, u)| UpstreamInfo {
            incarnation: u.incarnation,
            leaving: u.leaving_at.is_some(),
            ..UpstreamInfo::new(&upstream_name(slot), u.service)
        })
        .collect()
    }

    pub fn upstream_input(&mut self, slot: usize, incarnation: u64, input: UpstreamInput) {
        let process = &mut self.upstreams[slot];
        if process.incarnation != incarnation || process.machine.is_none() {
            return;
        }
        if process.paused {
            process.backlog.push(input);
            return;
        }
        if self.trace_on {
            eprintln!("{:?} upstream {slot} <- {input:?}", self.now);
        }
        match input {
            UpstreamInput::Work(attempt) => self.work(slot, attempt),
            UpstreamInput::Cancel(attempt) => {
                if let Some(conn) = self.connections.get_mut(&attempt) {
                    conn.stage = Stage::Ended;
                }
                self.run_upstream_machine(slot, Input::Cancel(attempt));
            }
            UpstreamInput::Chunk {
                attempt,
                first,
                count,
            } => {
                self.run_upstream_machine(slot, Input::Engine(attempt, EngineEvent::Tokens(count)));
                if self.connections[&attempt].stage != Stage::Ended {
                    self.send_to_entry(attempt, AttemptEvent::Chunk { first, count });
                }
            }
            UpstreamInput::Done(attempt) => {
                let load = self.upstreams[slot].machine.as_ref().map(Upstream::load);
                let event = AttemptEvent::Finished(load.unwrap_or_default());
                self.end_connection(attempt, event);
                self.run_upstream_machine(slot, Input::Engine(attempt, EngineEvent::Finished));
            }
            UpstreamInput::Failed(attempt) => {
                let event = EngineEvent::Failed(Run::Unknown);
                self.run_upstream_machine(slot, Input::Engine(attempt, event));
            }
            UpstreamInput::EngineDown => self.run_upstream_machine(slot, Input::EngineDown),
            UpstreamInput::EngineUp => self.run_upstream_machine(slot, Input::EngineUp),
            UpstreamInput::Leave => self.run_upstream_machine(slot, Input::Leave),
            UpstreamInput::Timer(timer) => self.run_upstream_machine(slot, Input::Timer(timer)),
        }
    }

    fn work(&mut self, slot: usize, attempt: AttemptId) {
        let now = self.now;
        let conn = self
            .connections
            .get_mut(&attempt)
            .expect("a connection for each attempt");
        if conn.stage != Stage::Sent {
            return;
        }
        conn.age = now.saturating_sub(conn.decided);
        conn.stage = Stage::Taken;
        let (age, handle, resume_from) = (conn.age, conn.handle, conn.resume_from);
        let alone = conn.alone;
        if conn.misdirected {
            let event =
                AttemptEvent::Bounced(Bounce::Stale, eelgrasshold_core::types::Load::default());
            self.end_connection(attempt, event);
            return;
        }
        let sub = self.oracle.sub(handle);
        let mut request = sub.request.clone();
        let arrived = sub.arrived.expect("a request that arrived");
        request.deadline = (arrived + request.deadline).saturating_sub(now);
        request.resume_from = resume_from;
        self.run_upstream_machine(
            slot,
            Input::Work {
                attempt,
                request,
                age,
                alone,
            },
        );
    }

    fn run_upstream_machine(&mut self, slot: usize, input: Input) {
        let crash = matches!(input, Input::EngineDown);
        let process = &mut self.upstreams[slot];
        let (incarnation, clock_offset, now) =
            (process.incarnation, process.clock_offset, self.now);
        let Some(machine) = &mut process.machine else {
            return;
        };
        for output in machine.handle(now + clock_offset, input) {
            if self.trace_on && !matches!(output, Output::SetTimer { .. }) {
                eprintln!("{now:?}   upstream {slot} -> {output:?}");
            }
            match output {
                Output::Start { attempt, .. } => self.start(slot, attempt),
                Output::Stop(attempt) => {
                    self.upstreams[slot].tasks.remove(&attempt);
                }
                Output::Bounce {
                    attempt,
                    reason,
                    load,
                } => {
                    if matches!(reason, Bounce::Leaving | Bounce::Quarantined) {
                        self.oracle
                            .bounced_without_cost(self.connections[&attempt].handle);
                    }
                    self.end_connection(attempt, AttemptEvent::Bounced(reason, load));
                }
                Output::Fail { attempt, .. } if crash => {
                    self.end_connection(attempt, AttemptEvent::Crashed);
                }
                Output::Fail { attempt, run } => {
                    self.end_connection(attempt, AttemptEvent::Failed(run));
                }
                Output::SetTimer { at, timer } => {
                    let at = at.saturating_sub(clock_offset);
                    let input = UpstreamInput::Timer(timer);
                    self.schedule(
                        at,
                        Event::Upstream {
                            slot,
                            incarnation,
                            input,
                        },
                    );
                }
                Output::Reprioritize { .. } | Output::Event(_) => {}
                Output::Drained => {
                    self.check_idle(slot, incarnation);
                    if !std::mem::replace(&mut self.upstreams[slot].stopping, true) {
                        self.schedule(now + LINGER_AFTER_DRAIN, Event::Stop { slot, incarnation });
                    }
                }
            }
        }
    }

    pub fn kill_upstream(&mut self, n: usize) {
        let slot = n % self.upstreams.len();
        let process = &mut self.upstreams[slot];
        let incarnation = process.incarnation;
        if process.machine.take().is_some() {
            process.tasks.clear();
            self.break_upstream(slot, incarnation);
            self.schedule_lists();
        }
    }

    pub fn restart_upstream(&mut self, n: usize) {
        let slot = n % self.upstreams.len();
        let process = &self.upstreams[slot];
        if process.machine.is_some() {
            return;
        }
        let incarnation = process.incarnation + 1;
        // After a graceful shutdown, a new host takes the slot; a host whose process died still
        // leaves.
        let leaving_at = process.leaving_at.filter(|_| !process.stopping);
        self.upstreams[slot] = UpstreamProcess {
            machine: Some(Upstream::new(CONCURRENCY)),
            incarnation,
            clock_offset: Duration::from_secs(self.rng.random_range(0..1_000_000)),
            leaving_at,
            ..UpstreamProcess::new(process.service)
        };
        if leaving_at.is_some() {
            let delay = Duration::from_millis(self.rng.random_range(0..1_000));
            let input = UpstreamInput::Leave;
            self.schedule(
                self.now + delay,
                Event::Upstream {
                    slot,
                    incarnation,
                    input,
                },
            );
        }
        self.schedule_lists();
    }

    pub fn pause_upstream(&mut self, n: usize, time: Duration) {
        let slot = n % self.upstreams.len();
        let process = &mut self.upstreams[slot];
        if process.machine.is_none() || process.paused {
            return;
        }
        process.paused = true;
        let incarnation = process.incarnation;
        self.schedule(self.now + time, Event::ResumeUpstream { slot, incarnation });
    }

    pub fn resume_upstream(&mut self, slot: usize, incarnation: u64) {
        let process = &mut self.upstreams[slot];
        if process.incarnation != incarnation {
            return;
        }
        process.paused = false;
        let mut backlog = std::mem::take(&mut process.backlog);
        // Engine events come first: they are about work from before the pause, since the engine has
        // received nothing new in between.
        backlog.sort_by_key(|input| !input.is_from_engine());
        for input in backlog {
            self.upstream_input(slot, incarnation, input);
        }
    }

    /// The host starts to leave. The process and the entry hosts are notified at different times.
    pub fn leave_upstream(&mut self, n: usize) {
        let slot = n % self.upstreams.len();
        let process = &mut self.upstreams[slot];
        if process.machine.is_none() || process.leaving_at.is_some() {
            return;
        }
        process.leaving_at = Some(self.now);
        let incarnation = process.incarnation;
        let delay = Duration::from_millis(self.rng.random_range(0..2_000));
        let input = UpstreamInput::Leave;
        self.schedule(
            self.now + delay,
            Event::Upstream {
                slot,
                incarnation,
                input,
            },
        );
        self.schedule_lists();
    }

    /// Checks that a process which reports that all its work has ended has none.
    fn check_idle(&self, slot: usize, incarnation: u64) {
        for (attempt, conn) in &self.connections {
            let taken = conn.upstream == (slot, incarnation) && conn.stage == Stage::Taken;
            assert!(!taken, "upstream {slot} stops with attempt {attempt}");
        }
    }

    pub fn complete_shutdown(&mut self, slot: usize, incarnation: u64) {
        let process = &mut self.upstreams[slot];
        if process.incarnation != incarnation || process.machine.is_none() || process.paused {
            return;
        }
        assert!(
            process.tasks.is_empty(),
            "a graceful shutdown cuts work on upstream {slot}"
        );
        process.machine = None;
        self.stop_upstream(slot, incarnation);
        self.schedule_lists();
    }
}
