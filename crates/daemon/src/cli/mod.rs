//! Command line of the daemon.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Exit code if the settings can't be read or are invalid.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit code if the shutdown cut off open requests.
pub const EXIT_CUT: u8 = 3;

/// Parsed command-line arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Validate the settings and exit.
    pub check: bool,
}

fn command() -> Command {
    Command::new("eelgrassholdd")
        .version(clap::crate_version!())
        .about("Daemon of the eelgrasshold load balancer")
        .after_help("Exit codes: 0 success, 1 failure, 2 invalid settings, 3 requests were cut.")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings of this process, as JSON"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

/// Parses the command line; prints the error and exits if it is invalid.
pub fn parse() -> Args {
    let matches = command().get_matches();
    Args {
        settings: matches
            .get_one::<PathBuf>("settings")
            .cloned()
            .unwrap_or_default(),
        check: matches.get_flag("check"),
    }
}
