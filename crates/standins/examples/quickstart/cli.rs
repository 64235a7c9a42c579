//! Command line of the quickstart.

use clap::{Arg, ArgAction, Command, value_parser};

/// Parsed command line.
pub struct Args {
    /// Seed of the requests.
    pub seed: u64,
    /// Whether to print only the summary, as JSON.
    pub json: bool,
    /// Whether to leave the fleet running after the summary.
    pub keep: bool,
}

/// Parses the command line, and exits with a usage message if it is invalid.
pub fn parse() -> Args {
    let matches = Command::new("quickstart")
        .about("Runs a whole fleet on loopback, sends it work, breaks parts of it and checks it")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the work"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the summary as one JSON object"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Leave the fleet up and print its addresses"),
        )
        .get_matches();
    Args {
        seed: matches.get_one::<u64>("seed").copied().unwrap_or(1),
        json: matches.get_flag("json"),
        keep: matches.get_flag("keep"),
    }
}
