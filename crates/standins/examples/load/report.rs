//! Output of the load tool as JSON or as a table.

use eelgrasshold_standins::load::{Latency, Outcomes, StreamSummary, Summary, TargetSummary};

pub(crate) fn print_json(summary: &Summary) {
    match serde_json::to_string(summary) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("can't serialize the results: {error}"),
    }
}

pub(crate) fn print_table(summary: &Summary) {
    println!(
        "{:8} {:>12} {:>10} {:>10}",
        "", "requests/s", "p50 ms", "p99 ms"
    );
    print_target("system", &summary.system);
    if let Some(direct) = &summary.direct {
        print_target("direct", direct);
    }
    if let Some(comparison) = &summary.comparison {
        let (p50, p99) = (comparison.p50_ratio, comparison.p99_ratio);
        println!("{:8} {:>12} {p50:>10.2} {p99:>10.2}", "ratio", "");
        let (p50, p99) = (comparison.p50_added_ms, comparison.p99_added_ms);
        println!("{:8} {:>12} {p50:>10.3} {p99:>10.3}", "added", "");
    }
    print_outcomes("system", &summary.system.outcomes);
    if let Some(direct) = &summary.direct {
        print_outcomes("direct", &direct.outcomes);
    }
    print_streams(&summary.streams);
}

fn print_target(name: &str, target: &TargetSummary) {
    let rate = target.requests_per_s;
    match &target.latency {
        Some(latency) => {
            let (p50, p99) = (latency.p50_ms, latency.p99_ms);
            println!("{name:8} {rate:>12.1} {p50:>10.3} {p99:>10.3}");
        }
        None => println!("{name:8} {rate:>12.1} {:>10} {:>10}", "-", "-"),
    }
}

fn print_outcomes(name: &str, outcomes: &Outcomes) {
    println!(
        "{name}: {} whole, {} refused not run, {} refused unknown, {} cut, {} unreachable, \
         {} wrong, {} not sent",
        outcomes.whole,
        outcomes.refused_not_run,
        outcomes.refused_unknown,
        outcomes.cut,
        outcomes.unreachable,
        outcomes.wrong,
        outcomes.not_sent,
    );
    if let Some(text) = &outcomes.first_wrong {
        println!("{name}: first wrong answer: {text}");
    }
}

fn print_streams(streams: &StreamSummary) {
    if streams.open_at_end == 0 && streams.outcomes == Outcomes::default() {
        return;
    }
    print_outcomes("streams", &streams.outcomes);
    println!(
        "streams: {} open at the end, {} tokens, {} resumptions",
        streams.open_at_end, streams.tokens, streams.resumes,
    );
    print_latency("first token", streams.first_token.as_ref());
    print_latency("longest gap", streams.longest_gap.as_ref());
}

fn print_latency(name: &str, latency: Option<&Latency>) {
    if let Some(latency) = latency {
        let (p50, p99) = (latency.p50_ms, latency.p99_ms);
        println!("streams: {name} p50 {p50:.1} ms, p99 {p99:.1} ms");
    }
}
