//! Measures the decisions of the core in virtual time against baselines.

mod crest;
mod load;
mod report;
mod retries;
mod skew;
mod world;

use clap::{Arg, ArgAction, Command, value_parser};

use report::Row;

/// An experiment: its name, what it measures, and the function that runs it with a seed.
type Experiment = (&'static str, &'static str, fn(u64) -> Vec<Row>);

const EXPERIMENTS: &[Experiment] = &[
    (
        "crest",
        "quality of service at the peak of a swing in demand",
        crest::run,
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
        eprintln!("there is no experiment `{name}`; `experiment list` names them");
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
