//! Messages and bytes of four ways to distribute updates from publishers to subscribers.
//!
//! In the results, `push` sends each update, `ask` polls when the value is needed, `marking`
//! chooses one of these two per link, and `carried` adds the update to messages that are sent
//! anyway, such as load reports on answers.
//!
//! Adaptive link marking follows Ge, Ji, Kurose and Towsley, "Matchmaker: Signaling for Dynamic
//! Publish/Subscribe Applications": each link transmits the rarer of publications and
//! subscriptions. Here a link connects one publisher and one subscriber, and a subscription is a
//! poll of the current value. The rates are smoothed, a link changes its mode only beyond a
//! hysteresis, and the messages for rate announcements and mode changes are included.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::report::Row;

const RUN_SECONDS: u32 = 3_600;
/// Overhead of a message besides its content, as in the experiment `control`.
const WIRE_BYTES: f64 = 146.0;
/// Size of a mode change or of a rate announcement.
const MARK_BYTES: f64 = 12.0;
/// Weight of the last second in the exponentially smoothed rates.
const SMOOTHING: f64 = 0.02;
/// A link changes its mode only if the current mode costs this many times the other one.
const HYSTERESIS: f64 = 1.5;
/// Interval at which the remote end announces its rate, in seconds.
const ANNOUNCE_INTERVAL_S: u32 = 60;

/// A kind of update with its rates per link and second. `x` is the number of nodes.
struct Workload {
    policies: [&'static str; 4],
    link_count: usize,
    publications: f64,
    polls: f64,
    content_bytes: f64,
    /// Every ten minutes, each link draws new rates within this factor of the mean.
    rate_variation: f64,
    /// Share of links whose subscriber never polls.
    idle_share: f64,
    x: f64,
}

/// Fleets of 22 and 980 nodes. Each upstream process publishes 10 to 20 cache events per second,
/// and each entry host with it in its subset polls before a dispatch; its load changes with each
/// request. The configuration of the large fleet changes 250 times a day.
const WORKLOADS: [Workload; 6] = [
    Workload {
        policies: ["cache_push", "cache_ask", "cache_marking", "cache_carried"],
        link_count: 105,
        publications: 10.0,
        polls: 0.6,
        content_bytes: 40.0,
        rate_variation: 4.0,
        idle_share: 0.0,
        x: 22.0,
    },
    Workload {
        policies: ["cache_push", "cache_ask", "cache_marking", "cache_carried"],
        link_count: 7_600,
        publications: 20.0,
        polls: 0.46,
        content_bytes: 40.0,
        rate_variation: 4.0,
        idle_share: 0.0,
        x: 980.0,
    },
    Workload {
        policies: ["load_push", "load_ask", "load_marking", "load_carried"],
        link_count: 105,
        publications: 1.0,
        polls: 0.6,
        content_bytes: 24.0,
        rate_variation: 8.0,
        idle_share: 0.0,
        x: 22.0,
    },
    Workload {
        policies: ["load_push", "load_ask", "load_marking", "load_carried"],
        link_count: 7_600,
        publications: 1.0,
        polls: 0.46,
        content_bytes: 24.0,
        rate_variation: 8.0,
        idle_share: 0.0,
        x: 980.0,
    },
    Workload {
        policies: [
            "config_push",
            "config_ask",
            "config_marking",
            "config_carried",
        ],
        link_count: 22,
        publications: 0.000_23,
        polls: 0.1,
        content_bytes: 8_000.0,
        rate_variation: 2.0,
        idle_share: 0.5,
        x: 22.0,
    },
    Workload {
        policies: [
            "config_push",
            "config_ask",
            "config_marking",
            "config_carried",
        ],
        link_count: 980,
        publications: 0.002_9,
        polls: 0.1,
        content_bytes: 8_000.0,
        rate_variation: 2.0,
        idle_share: 0.5,
        x: 980.0,
    },
];

#[derive(Clone, Copy, Default)]
struct Cost {
    messages: f64,
    bytes: f64,
}

impl Cost {
    fn add(&mut self, messages: u32, content_bytes: f64) {
        self.messages += f64::from(messages);
        self.bytes += f64::from(messages) * WIRE_BYTES + content_bytes;
    }
}

/// Measures all workloads.
pub fn run(seed: u64) -> Vec<Row> {
    WORKLOADS.iter().flat_map(|w| measure(seed, w)).collect()
}

fn measure(seed: u64, workload: &Workload) -> Vec<Row> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut totals = [Cost::default(); 4];
    for link in 0..workload.link_count {
        let idle = (link as f64) < workload.idle_share * workload.link_count as f64;
        let costs = run_link(&mut rng, workload, idle);
        for (total, cost) in totals.iter_mut().zip(costs) {
            total.messages += cost.messages;
            total.bytes += cost.bytes;
        }
    }
    let mut rows = Vec::new();
    for (policy, total) in workload.policies.into_iter().zip(totals) {
        for (metric, value) in [
            ("messages_per_s", total.messages / f64::from(RUN_SECONDS)),
            ("bytes_per_s", total.bytes / f64::from(RUN_SECONDS)),
        ] {
            rows.push(Row {
                experiment: "signaling",
                policy,
                metric,
                x: workload.x,
                value,
                extrapolated: false,
            });
        }
    }
    rows
}

/// Costs on one link of push, polling, marking and piggybacking, for the same events.
fn run_link(rng: &mut SmallRng, workload: &Workload, idle: bool) -> [Cost; 4] {
    let [mut push, mut poll, mut marking, mut piggybacked] = [Cost::default(); 4];
    let mut pushing = true;
    let mut updated = false;
    let (mut publish_rate, mut poll_rate) = (workload.publications, workload.polls);
    let mut factors = (1.0, 1.0);
    let phase_s = rng.random_range(0..600);
    for second in 0..RUN_SECONDS {
        if (second + phase_s) % 600 == 0 {
            let rate_variation =
                |rng: &mut SmallRng| workload.rate_variation.powf(rng.random_range(-1.0..1.0));
            factors = (rate_variation(rng), rate_variation(rng));
        }
        let publications = poisson(rng, workload.publications * factors.0);
        let rate = if idle {
            0.0
        } else {
            workload.polls * factors.1
        };
        let polls = poisson(rng, rate);
        let content = workload.content_bytes;
        push.add(publications, f64::from(publications) * content);
        // A poll and its answer, which has content only if the value was updated.
        updated |= publications > 0;
        let answer_bytes = if updated && polls > 0 { content } else { 0.0 };
        updated &= polls == 0;
        poll.add(2 * polls, answer_bytes);
        piggybacked.add(0, answer_bytes);
        publish_rate += SMOOTHING * (f64::from(publications) - publish_rate);
        poll_rate += SMOOTHING * (f64::from(polls) - poll_rate);
        if pushing {
            marking.add(publications, f64::from(publications) * content);
        } else {
            marking.add(2 * polls, answer_bytes);
        }
        // The end that chooses the mode knows the remote rate only from announcements.
        if (second + phase_s) % ANNOUNCE_INTERVAL_S == 0 {
            marking.add(1, MARK_BYTES);
            let push_cost = publish_rate * (WIRE_BYTES + content);
            let poll_cost = poll_rate * (2.0 * WIRE_BYTES + content);
            let (current, alternative) = if pushing {
                (push_cost, poll_cost)
            } else {
                (poll_cost, push_cost)
            };
            if current > HYSTERESIS * alternative {
                pushing = !pushing;
                marking.add(1, MARK_BYTES);
            }
        }
    }
    [push, poll, marking, piggybacked]
}

/// Draws the number of events in a second from a Poisson distribution (Knuth's method).
fn poisson(rng: &mut SmallRng, rate: f64) -> u32 {
    let mut number = 0;
    let mut product: f64 = rng.random();
    let limit = (-rate).exp();
    while product > limit {
        number += 1;
        product *= rng.random::<f64>();
    }
    number
}
