//! Summary of a run, and the checks that decide whether it passed.

use std::collections::BTreeMap;
use std::fmt::Write;

use eelgrasshold_net::host::Drained;
use eelgrasshold_standins::caller::{Outcome, Report};
use eelgrasshold_standins::fleet::Fleet;
use eelgrasshold_standins::plain::PlainService;
use serde::Serialize;

use crate::faults::FaultResults;
use crate::work::{self, Kind};

/// Limit of the number of requests in [`Summary::examples`].
const MAX_EXAMPLES: usize = 5;

/// Outcome counts and latencies of one kind of request.
#[derive(Clone, Debug, Default, Serialize)]
struct Counts {
    sent: usize,
    whole: usize,
    refused_not_run: usize,
    refused_unknown: usize,
    cut: usize,
    wrong: usize,
    resumed: usize,
    first_ms_p50: u64,
    first_ms_p99: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    seed: u64,
    drafts: Counts,
    reservations: Counts,
    status_calls: Counts,
    /// Number of reservations that ran more than once; must be 0.
    run_twice: usize,
    /// Number of requests that ran although they were refused as not run; must be 0.
    ran_though_refused: usize,
    /// Whether the graceful shutdown of the entry host cut off no request; must be true.
    drain_cut_nothing: bool,
    drafts_on_dead_engine: usize,
    /// The first requests without a complete answer, except for repeated reservations.
    examples: Vec<String>,
    held: bool,
}

impl Summary {
    /// Evaluates the reports of all requests and the state of the fleet.
    pub fn new(
        seed: u64,
        reports: &[(Kind, Report)],
        fault_results: &FaultResults,
        fleet: &Fleet,
    ) -> Self {
        let counts = |kind| count(reports.iter().filter(|(k, _)| *k == kind).map(|(_, r)| r));
        let runs = |key: &str| {
            fleet
                .plain_services
                .iter()
                .map(|plain| plain.runs_of(key))
                .sum::<usize>()
        };
        let mut summary = Self {
            seed,
            drafts: counts(Kind::Draft),
            reservations: counts(Kind::Reservation),
            status_calls: counts(Kind::Status),
            run_twice: work::keys().filter(|key| runs(key) > 1).count(),
            ran_though_refused: ran_though_refused(reports, fleet),
            drain_cut_nothing: fault_results.drained == Some(Drained::Whole),
            drafts_on_dead_engine: fault_results.drafts_on_crashed_engine,
            examples: examples(reports),
            held: false,
        };
        summary.held = summary.violations().is_empty();
        summary
    }

    /// Whether the run has no violations.
    pub fn passed(&self) -> bool {
        self.held
    }

    /// Formats the summary as one JSON object.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Formats the summary as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let kinds = [
            ("drafts", &self.drafts),
            ("reservations", &self.reservations),
            ("status calls", &self.status_calls),
        ];
        for (name, c) in kinds {
            let _ = writeln!(
                text,
                "{name:13} sent {:4}  whole {:4}  not run {:3}  unknown {:3}  cut {:2}  wrong {:2}  \
                 resumed {:3}  first answer p50 {} ms, p99 {} ms",
                c.sent,
                c.whole,
                c.refused_not_run,
                c.refused_unknown,
                c.cut,
                c.wrong,
                c.resumed,
                c.first_ms_p50,
                c.first_ms_p99
            );
        }
        let _ = writeln!(text, "reservations run twice: {}", self.run_twice);
        let violations = self.violations();
        if violations.is_empty() {
            text.push_str("every property held\n");
        } else {
            let _ = writeln!(text, "VIOLATED: {}", violations.join("; "));
        }
        for example in &self.examples {
            let _ = writeln!(text, "  for example {example}");
        }
        text
    }

    fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (name, c) in [
            ("drafts", &self.drafts),
            ("status calls", &self.status_calls),
        ] {
            if c.wrong + c.cut > 0 {
                violations.push(format!("{} {name} were wrong and {} cut", c.wrong, c.cut));
            }
            // After each of these faults, idempotent requests can be retried on another upstream.
            if c.refused_unknown > 0 {
                violations.push(format!(
                    "{} {name} have an unknown outcome",
                    c.refused_unknown
                ));
            }
            if c.whole * 100 < c.sent * 95 {
                violations.push(format!("only {} of {} {name} are whole", c.whole, c.sent));
            }
        }
        let c = &self.reservations;
        if c.wrong + c.cut > 0 {
            violations.push(format!(
                "{} reservations were wrong and {} cut",
                c.wrong, c.cut
            ));
        }
        if self.run_twice > 0 {
            violations.push(format!("{} reservations ran twice", self.run_twice));
        }
        if self.ran_though_refused > 0 {
            let count = self.ran_though_refused;
            violations.push(format!(
                "{count} requests ran though they were refused as not run"
            ));
        }
        if !self.drain_cut_nothing {
            violations.push("the graceful shutdown cut requests".to_owned());
        }
        violations
    }
}

fn examples(reports: &[(Kind, Report)]) -> Vec<String> {
    let is_incomplete =
        |r: &&Report| !matches!(r.outcome, Outcome::Whole) && !r.detail.contains("idempotency key");
    let reports = reports
        .iter()
        .map(|(_, report)| report)
        .filter(is_incomplete);
    let describe = |r: &Report| format!("{}: {:?} {}", r.request_id, r.outcome, r.detail);
    reports.map(describe).take(MAX_EXAMPLES).collect()
}

fn count<'a>(reports: impl Iterator<Item = &'a Report>) -> Counts {
    let mut counts = Counts::default();
    let mut first_answers_ms = Vec::new();
    for report in reports {
        counts.sent += 1;
        counts.resumed += usize::from(report.resumes > 0);
        match report.outcome {
            Outcome::Whole => {
                counts.whole += 1;
                first_answers_ms.extend(report.time_to_first.map(|first| first.as_millis() as u64));
            }
            Outcome::RefusedNotRun | Outcome::Unreachable => counts.refused_not_run += 1,
            Outcome::RefusedUnknown => counts.refused_unknown += 1,
            Outcome::Cut => counts.cut += 1,
            Outcome::Wrong(_) => counts.wrong += 1,
        }
    }
    first_answers_ms.sort_unstable();
    let quantile = |percent: usize| {
        let rank =
            (first_answers_ms.len() * percent / 100).min(first_answers_ms.len().saturating_sub(1));
        first_answers_ms.get(rank).copied().unwrap_or(0)
    };
    counts.first_ms_p50 = quantile(50);
    counts.first_ms_p99 = quantile(99);
    counts
}

/// Number of plain calls that were refused as not run although their request id ran.
fn ran_though_refused(reports: &[(Kind, Report)], fleet: &Fleet) -> usize {
    let mut ran: BTreeMap<String, usize> = BTreeMap::new();
    for execution in fleet
        .plain_services
        .iter()
        .flat_map(PlainService::executions)
    {
        *ran.entry(execution.request_id).or_default() += 1;
    }
    let refused = reports
        .iter()
        .filter(|(_, report)| report.outcome == Outcome::RefusedNotRun);
    refused
        .filter(|(_, report)| ran.contains_key(&report.request_id))
        .count()
}
