//! Command line.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};

/// Most processes of one run.
const MAX_PROCESSES: u64 = 250;

/// What the command line says.
pub struct Args {
    /// Binary of the daemon.
    pub daemon: PathBuf,
    /// Numbers of processes, one run each.
    pub processes: Vec<usize>,
    /// Teams in the configuration.
    pub teams: usize,
    /// Length of the measurement at rest.
    pub rest: Duration,
    /// Print JSON lines.
    pub json: bool,
}

/// Reads the command line; ends the process if it is invalid.
pub fn parse() -> Args {
    let number = |id: &'static str, default: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    let matches = Command::new("capacity")
        .about("Measures real daemons on loopback")
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Binary of eelgrassholdd"),
        )
        .arg(
            Arg::new("processes")
                .long("processes")
                .value_delimiter(',')
                .value_parser(value_parser!(u64).range(4..=MAX_PROCESSES))
                .default_value("10,25")
                .help("Numbers of processes; 38 in 98 are entry hosts"),
        )
        .arg(number("teams", "4300", "Teams in the configuration"))
        .arg(number("seconds", "20", "Length of the measurement at rest"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object a line"),
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
        rest: Duration::from_secs(number("seconds")),
        json: matches.get_flag("json"),
    }
}
