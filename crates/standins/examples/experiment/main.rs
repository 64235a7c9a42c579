//! Compares the decisions of the core crate with baseline policies in virtual time.

mod affinity;
mod blocking;
mod control;
mod crest;
mod limits;
mod load;
mod report;
mod retries;
mod signaling;
mod simulation;
mod skew;
mod subset;

use clap::{Arg, ArgAction, Command, value_parser};

use report::Row;

/// Name, description, and the function that runs the experiment with a seed.
type Experiment = (&'static str, &'static str, fn(u64) -> Vec<Row>);

const EXPERIMENTS: &[Experiment] = &[
    (
        "crest",
        "quality of service at the peak of a swing in demand",
        crest::run,
    ),
    (
        "blocking",
        "head-of-line blocking of short work behind long work",
        blocking::run,
    ),
    (
        "affinity",
        "prefix-cache hits against the balance of load",
        affinity::run,
    ),
    (
        "limits",
        "admitted requests of a team over its limit, at many entry hosts",
        limits::run,
    ),
    (
        "subset",
        "coverage of upstreams by the subsets of entry hosts",
        subset::run,
    ),
    (
        "retries",
        "attempts for each request while upstreams fail",
        retries::run,
    ),
    (
        "skew",
        "step-time skew across ranks, and the cost of rebalancing",
        skew::run,
    ),
    (
        "control",
        "control cost, spread of configuration and detection against the number of nodes",
        control::run,
    ),
    (
        "signaling",
        "messages and bytes of push, ask and adaptive link marking",
        signaling::run,
    ),
    (
        "recovery",
        "time to normal and load on the platform after large failures",
        control::run_recovery,
    ),
];

fn command() -> Command {
    Command::new("experiment")
        .about("Measures the decisions of the core in virtual time against baselines")
        .arg(
            Arg::new("name")
                .required(true)
                .help("Experiment, or `list`"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of all randomness"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object a line"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("DIR")
                .help("Write one SVG per metric into DIR"),
        )
}

fn main() -> std::process::ExitCode {
    let args = command().get_matches();
    let name = args.get_one::<String>("name").map_or("", String::as_str);
    if name == "list" {
        for (name, about, _) in EXPERIMENTS {
            println!("{name:12} {about}");
        }
        return std::process::ExitCode::SUCCESS;
    }
    let Some((_, _, run)) = EXPERIMENTS.iter().find(|(n, _, _)| *n == name) else {
        eprintln!("unknown experiment `{name}`; run `experiment list` for the names");
        return std::process::ExitCode::from(2);
    };
    let rows = run(args.get_one::<u64>("seed").copied().unwrap_or(1));
    if args.get_flag("json") {
        report::print_json(&rows);
    } else {
        report::print_table(&rows);
    }
    if let Some(dir) = args.get_one::<String>("plot")
        && let Err(error) = report::plot(&rows, std::path::Path::new(dir))
    {
        eprintln!("can't write plots to {dir}: {error}");
        return std::process::ExitCode::FAILURE;
    }
    std::process::ExitCode::SUCCESS
}
