//! Time of the decisions for one request, at the entry host and at the upstream.

#![expect(
    missing_docs,
    reason = "criterion's macro generates an undocumented function"
)]

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use eelgrasshold_core::config::{Config, Service, Team};
use eelgrasshold_core::entry::{AttemptEvent, Entry, Input, Output, UpstreamInfo};
use eelgrasshold_core::serving::queue::Policy;
use eelgrasshold_core::types::{Load, Now, Request, WorkClass};
use eelgrasshold_core::upstream::{self, EngineEvent, Upstream};

fn request(team: usize) -> Request {
    Request {
        id: "r".into(),
        service: "drafts".into(),
        team: format!("team-{team}"),
        priority: 4,
        deadline: Duration::from_secs(30),
        class: WorkClass::Idempotent,
        idempotency_key: None,
        fingerprint: 1,
        prefix: Some(7),
        prompt_tokens: 100,
        max_tokens: 100,
        resume_from: 0,
    }
}

fn entry(upstreams: usize, teams: usize) -> Entry {
    let limited = Team {
        requests_per_s: Some(1e9),
        ..Team::default()
    };
    let cfg = Config {
        revision: 1,
        services: BTreeMap::from([("drafts".into(), Service::default())]),
        teams: (0..teams)
            .map(|n| (format!("team-{n}"), limited.clone()))
            .collect(),
        groups: BTreeMap::new(),
    };
    let upstreams = (0..upstreams).map(|n| UpstreamInfo::new(&format!("up-{n}"), "drafts"));
    let mut entry = Entry::new("entry-0".into(), 1);
    let inputs = [
        Input::Config(Arc::new(cfg)),
        Input::EntryHosts((0..380).map(|n| format!("entry-{n}")).collect()),
        Input::Upstreams(upstreams.collect()),
    ];
    for input in inputs {
        entry.handle(Now::ZERO, input);
    }
    entry
}

/// Admits, dispatches and finishes one request at the entry host.
fn route(entry: &mut Entry, now: Now, handle: u64, team: usize) {
    let request = request(team);
    let out = entry.handle(now, Input::Request { handle, request });
    for output in out {
        if let Output::Dispatch { attempt, .. } = output {
            let finished = AttemptEvent::Finished(Load::default());
            black_box(entry.handle(now, Input::Attempt(attempt, finished)));
        }
    }
}

fn entry_decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("entry");
    for (upstreams, teams) in [(12, 10), (60, 10), (600, 10), (12, 4_300), (600, 4_300)] {
        let mut entry = entry(upstreams, teams);
        let id = BenchmarkId::from_parameter(format!("{upstreams} upstreams, {teams} teams"));
        let (mut handle, mut now) = (0, Now::ZERO);
        group.bench_function(id, |b| {
            b.iter(|| {
                handle += 1;
                now += Duration::from_millis(1);
                route(&mut entry, now, handle, handle as usize % teams);
            });
        });
    }
    group.finish();
}

fn upstream_decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("upstream");
    for teams in [10, 100, 1_000, 4_300] {
        let mut upstream = Upstream::with_policy(Policy::builder().build());
        let (mut attempt, mut now) = (0, Now::ZERO);
        group.bench_function(BenchmarkId::new("teams", teams), |b| {
            b.iter(|| {
                attempt += 1;
                now += Duration::from_millis(1);
                let work = upstream::Input::Work {
                    attempt,
                    request: request(attempt as usize % teams),
                    age: Duration::ZERO,
                    alone: false,
                };
                black_box(upstream.handle(now, work));
                let finished = upstream::Input::Engine(attempt, EngineEvent::Finished);
                black_box(upstream.handle(now, finished));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, entry_decisions, upstream_decisions);
criterion_main!(benches);
