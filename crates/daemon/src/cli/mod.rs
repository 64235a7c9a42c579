//! Command line of the daemon.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Exit code for invalid settings.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit code after a shutdown that cut requests.
pub const EXIT_CUT: u8 = 3;

/// What the command line says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// File with the settings.
    pub settings: PathBuf,
    /// Only check the settings.
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

/// Reads the process's command line; ends the process if it is invalid.
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
