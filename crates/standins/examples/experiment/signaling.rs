//! Messages and bytes of ways to bring news from publishers to subscribers.
//!
//! `push` sends each piece, `ask` asks when needed, `marking` chooses per link, and `carried`
//! puts the news on messages that travel anyway, as load reports do on answers.
//!
//! Adaptive link marking follows Ge, Ji, Kurose and Towsley, "Matchmaker: Signaling for Dynamic
//! Publish/Subscribe Applications": on each link the rarer of publications and subscriptions
//! travels. Here a link joins one publisher and one subscriber; a subscription is a question
//! for the present value. The rates are smoothed, a link is marked anew only beyond a
//! hysteresis, and its own announcements and marks are counted.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::report::Row;

/// Seconds of a run.
const RUN_S: u32 = 3_600;
/// Bytes that a message costs besides its content, as in `control`.
const WIRE_BYTES: f64 = 146.0;
/// Bytes of a mark or of an announcement of a rate.
const MARK_BYTES: f64 = 12.0;
/// Weight of a second in the smoothed rates.
const SMOOTHING: f64 = 0.02;
/// Factor by which the other way must be cheaper before a link is marked anew.
const HYSTERESIS: f64 = 1.5;
/// Seconds between announcements of the rate at the far end.
const ANNOUNCE_S: u32 = 60;

/// A kind of news. Rates are per link and second.
struct Case {
    name: [&'static str; 4],
    links: usize,
    publications: f64,
    questions: f64,
    content_bytes: f64,
    /// The rates of a link change by up to this factor, and swap level every ten minutes.
    swing: f64,
    /// A link whose subscriber has no interest at all: it never asks.
    idle_share: f64,
    x: f64,
}

/// Today's fleet and the one expected in two years. Per upstream process, cache events come at
/// some ten a second and each entry host with it in its subset asks before a dispatch, while its
/// load changes with each request; a configuration changes 250 times a day for all.
const CASES: [Case; 6] = [
    Case {
        name: ["cache_push", "cache_ask", "cache_marking", "cache_carried"],
        links: 105,
        publications: 10.0,
        questions: 0.6,
        content_bytes: 40.0,
        swing: 4.0,
        idle_share: 0.0,
        x: 22.0,
    },
    Case {
        name: ["cache_push", "cache_ask", "cache_marking", "cache_carried"],
        links: 7_600,
        publications: 20.0,
        questions: 0.46,
        content_bytes: 40.0,
        swing: 4.0,
        idle_share: 0.0,
        x: 980.0,
    },
    Case {
        name: ["load_push", "load_ask", "load_marking", "load_carried"],
        links: 105,
        publications: 1.0,
        questions: 0.6,
        content_bytes: 24.0,
        swing: 8.0,
        idle_share: 0.0,
        x: 22.0,
    },
    Case {
        name: ["load_push", "load_ask", "load_marking", "load_carried"],
        links: 7_600,
        publications: 1.0,
        questions: 0.46,
        content_bytes: 24.0,
        swing: 8.0,
        idle_share: 0.0,
        x: 980.0,
    },
    Case {
        name: [
            "config_push",
            "config_ask",
            "config_marking",
            "config_carried",
        ],
        links: 22,
        publications: 0.000_23,
        questions: 0.1,
        content_bytes: 8_000.0,
        swing: 2.0,
        idle_share: 0.5,
        x: 22.0,
    },
    Case {
        name: [
            "config_push",
            "config_ask",
            "config_marking",
            "config_carried",
        ],
        links: 980,
        publications: 0.002_9,
        questions: 0.1,
        content_bytes: 8_000.0,
        swing: 2.0,
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

/// Measures each case.
pub fn run(seed: u64) -> Vec<Row> {
    CASES.iter().flat_map(|c| measure(seed, c)).collect()
}

fn measure(seed: u64, case: &Case) -> Vec<Row> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut totals = [Cost::default(); 4];
    for link in 0..case.links {
        let idle = (link as f64) < case.idle_share * case.links as f64;
        let costs = run_link(&mut rng, case, idle);
        for (total, cost) in totals.iter_mut().zip(costs) {
            total.messages += cost.messages;
            total.bytes += cost.bytes;
        }
    }
    let mut rows = Vec::new();
    for (policy, total) in case.name.into_iter().zip(totals) {
        for (metric, value) in [
            ("messages_per_s", total.messages / f64::from(RUN_S)),
            ("bytes_per_s", total.bytes / f64::from(RUN_S)),
        ] {
            rows.push(Row {
                experiment: "signaling",
                policy,
                metric,
                x: case.x,
                value,
                extrapolated: false,
            });
        }
    }
    rows
}

/// Costs of push, ask, marking and carrying on one link with the same events.
fn run_link(rng: &mut SmallRng, case: &Case, idle: bool) -> [Cost; 4] {
    let [mut push, mut ask, mut marking, mut carried] = [Cost::default(); 4];
    let mut pushes = true;
    let mut fresh = false;
    let (mut published, mut asked) = (case.publications, case.questions);
    let mut factors = (1.0, 1.0);
    let phase = rng.random_range(0..600);
    for second in 0..RUN_S {
        if (second + phase) % 600 == 0 {
            let swing = |rng: &mut SmallRng| case.swing.powf(rng.random_range(-1.0..1.0));
            factors = (swing(rng), swing(rng));
        }
        let publications = count(rng, case.publications * factors.0);
        let rate = if idle {
            0.0
        } else {
            case.questions * factors.1
        };
        let questions = count(rng, rate);
        let content = case.content_bytes;
        push.add(publications, f64::from(publications) * content);
        // A question and its answer, which has content only if there is news.
        fresh |= publications > 0;
        let answered = if fresh && questions > 0 { content } else { 0.0 };
        fresh &= questions == 0;
        ask.add(2 * questions, answered);
        carried.add(0, answered);
        published += SMOOTHING * (f64::from(publications) - published);
        asked += SMOOTHING * (f64::from(questions) - asked);
        if pushes {
            marking.add(publications, f64::from(publications) * content);
        } else {
            marking.add(2 * questions, answered);
        }
        // The end that decides hears the other end's rate only by announcements.
        if (second + phase) % ANNOUNCE_S == 0 {
            marking.add(1, MARK_BYTES);
            let push_cost = published * (WIRE_BYTES + content);
            let ask_cost = asked * (2.0 * WIRE_BYTES + content);
            let (own, other) = if pushes {
                (push_cost, ask_cost)
            } else {
                (ask_cost, push_cost)
            };
            if own > HYSTERESIS * other {
                pushes = !pushes;
                marking.add(1, MARK_BYTES);
            }
        }
    }
    [push, ask, marking, carried]
}

/// Number of events in a second at a mean rate (Poisson, by exponential gaps).
fn count(rng: &mut SmallRng, rate: f64) -> u32 {
    let mut number = 0;
    let mut product: f64 = rng.random();
    let limit = (-rate).exp();
    while product > limit {
        number += 1;
        product *= rng.random::<f64>();
    }
    number
}
