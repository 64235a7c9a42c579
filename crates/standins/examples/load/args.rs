//! Command line of the load tool.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eelgrasshold_standins::load::LoadBuilder;

pub(crate) fn command() -> Command {
    Command::new("load")
        .about("Sends load to running daemons and compares their latency with direct calls")
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("URL")
                .required(true)
                .action(ArgAction::Append)
                .help("Entry host, http://IP:PORT; may be repeated"),
        )
        .arg(
            Arg::new("direct")
                .long("direct")
                .value_name("URL")
                .help("Plain service to call directly at the same rate, http://IP:PORT"),
        )
        .arg(number("rate", "100", 0, 50_000).help("Plain calls per second to each target"))
        .arg(number("seconds", "10", 1, 600).help("Duration of the measurement"))
        .arg(
            number("warm-up-seconds", "1", 0, 60)
                .help("Duration of the load before the measurement"),
        )
        .arg(number("streams", "0", 0, 5_000).help("Number of drafts kept open at the same time"))
        .arg(number("stream-tokens", "256", 1, 100_000).help("Length of each draft in tokens"))
        .arg(text("service", "orders").help("Plain service"))
        .arg(text("stream-service", "drafts").help("Model service that receives the drafts"))
        .arg(
            Arg::new("team")
                .long("team")
                .value_name("NAME")
                .help("Team; default: the default team of the service"),
        )
        .arg(
            Arg::new("post")
                .long("post")
                .action(ArgAction::SetTrue)
                .help("Send POST with an idempotency key instead of GET"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object"),
        )
}

fn number(name: &'static str, default: &'static str, min: i64, max: i64) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u32).range(min..=max))
        .default_value(default)
}

fn text(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NAME")
        .default_value(default)
}

/// Builds the run that the arguments describe.
pub(crate) fn load(args: &ArgMatches) -> LoadBuilder {
    let number = |name: &str| args.get_one::<u32>(name).copied().unwrap_or_default();
    let text = |name: &str| args.get_one::<String>(name).map(String::as_str);
    let seconds = |name: &str| Duration::from_secs(u64::from(number(name)));
    let entries = args.get_many("entry").into_iter().flatten().cloned();
    let mut load = LoadBuilder::new(entries.collect())
        .rate_per_s(number("rate"))
        .run_for(seconds("seconds"))
        .warm_up(seconds("warm-up-seconds"))
        .streams(number("streams"), number("stream-tokens"))
        .service(text("service").unwrap_or_default())
        .stream_service(text("stream-service").unwrap_or_default());
    if let Some(url) = text("direct") {
        load = load.direct(url);
    }
    if let Some(team) = text("team") {
        load = load.team(team);
    }
    if args.get_flag("post") {
        load = load.method(http::Method::POST);
    }
    load
}
