//! Command line of the capacity tool.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};

/// Limit of the number of daemons that a run starts on one machine.
const MAX_PROCESSES: u64 = 250;

/// Parsed command line.
pub struct Args {
    /// Path of the daemon binary.
    pub daemon: PathBuf,
    /// Number of daemons of each run.
    pub processes: Vec<usize>,
    /// Number of teams in the configuration.
    pub teams: usize,
    /// Duration of the measurement without load.
    pub measurement: Duration,
    /// Whether to print JSON lines instead of a table.
    pub json: bool,
}

/// Parses the command line, and exits with a usage message if it is invalid.
pub fn parse() -> Args {
    let number = |id: &'static str, default: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    let matches = Command::new("capacity")
        .about("Measures a fleet of daemons on loopback")
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Path of the eelgrassholdd binary"),
        )
        .arg(
            Arg::new("processes")
                .long("processes")
                .value_delimiter(',')
                .value_parser(value_parser!(u64).range(4..=MAX_PROCESSES))
                .default_value("10,25")
                .help("Number of processes of each run; 38 of 98 are entry hosts"),
        )
        .arg(number(
            "teams",
            "4300",
            "Number of teams in the configuration",
        ))
        .arg(number(
            "seconds",
            "20",
            "Duration of the measurement without load",
        ))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object per line"),
        )
        .get_matches();
    let number = |id: &str| matches.get_one::<u64>(id).copied().unwrap_or(1);
    Args {
        daemon: matches
            .get_one::<PathBuf>("daemon")
            .cloned()
            .unwrap_or_default(),
        processes: matches
            .get_many::<u64>("processes")
            .unwrap_or_default()
            .map(|n| usize::try_from(*n).unwrap_or(4))
            .collect(),
        teams: usize::try_from(number("teams")).unwrap_or(1),
        measurement: Duration::from_secs(number("seconds")),
        json: matches.get_flag("json"),
    }
}
