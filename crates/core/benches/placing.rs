//! Time to choose an upstream at a gateway.

#![expect(
    missing_docs,
    reason = "criterion's macro generates an undocumented function"
)]

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use eelgrasshold_core::gateway::budget::RetryBound;
use eelgrasshold_core::gateway::registry::Upstream;
use eelgrasshold_core::gateway::routes::{Route, RouteKind, RouteTable};
use eelgrasshold_core::gateway::{Gateway, GatewaySettings, Next, Outcome, RequestHead};
use eelgrasshold_core::types::Now;

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(1);

fn upstream(n: usize) -> Upstream {
    Upstream {
        id: format!("up-{n}"),
        service: "drafts".into(),
        address: SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 8_000)),
        data_centre: format!("north-{}", n % 4),
        slots: 8,
        leaving: false,
        born: None,
        warm_up: Some(Duration::ZERO),
        version: 1,
    }
}

fn gateway(upstreams: usize) -> Gateway {
    let settings = GatewaySettings {
        host: "entry-0".into(),
        data_centre: "north-1".into(),
        retry_bound: RetryBound {
            window: Duration::from_secs(10),
            ratio: 0.2,
            allowance: 100.0,
        },
        first_start: true,
        pause_control: false,
        cold_bound: None,
        settle_time: Duration::from_secs(3),
    };
    let mut table = RouteTable::new(1);
    table.add_route(Route {
        name: "drafts".into(),
        host: "h.example".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_millis(400),
        target_pause: None,
        attempts: 2,
        priority: 3,
        public: true,
        services: vec![("drafts".into(), 1)],
    });
    let mut gateway = Gateway::new(Now::ZERO, settings, 1);
    gateway.set_table(Now::ZERO, Arc::new(table));
    let hosts = (0..380).map(|n| format!("entry-{n}"));
    gateway.set_hosts(380, hosts.collect());
    let list = (0..upstreams).map(upstream).collect();
    gateway.registry.replace(Now::ZERO, list, 1);
    gateway
}

/// Admits one request, chooses its upstream and ends it.
fn place(gateway: &mut Gateway, now: Now) {
    let head = RequestHead {
        id: "r",
        host: "h.example",
        path: "/a",
        key: None,
        deadline: None,
        parts: &[],
        prompt_tokens: 100,
        answer_tokens: 100,
        max_answer_tokens: 0,
    };
    let Ok(mut request) = gateway.admit(now, head) else {
        return;
    };
    if let Next::Send(upstream, _) = black_box(gateway.next(now, &mut request)) {
        gateway.attempt_ended(now, &upstream.id, request.work, Outcome::Answered);
    }
}

fn placing(c: &mut Criterion) {
    let mut group = c.benchmark_group("placing");
    for upstreams in [15, 72, 600] {
        let mut gateway = gateway(upstreams);
        let mut now = Now::ZERO;
        group.bench_function(BenchmarkId::new("upstreams", upstreams), |b| {
            b.iter(|| {
                now += INTERVAL;
                place(&mut gateway, now);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, placing);
criterion_main!(benches);
