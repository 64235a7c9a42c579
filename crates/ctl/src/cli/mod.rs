//! Command line of `eelctl`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;

#[cfg(test)]
mod tests;

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  failure
  2  invalid command line, settings or files
  3  conflict: someone else published, or removals were not allowed
  4  the platform or the fleet does not answer, or the outcome is unknown
  5  the revision is not in force on every host";

/// Builds the command with all its subcommands.
pub fn command() -> Command {
    Command::new("eelctl")
        .version(clap::crate_version!())
        .about("Operators' client of the eelgrasshold load balancer")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(connection_args())
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of tables"),
        )
        .subcommand(check())
        .subcommand(publish())
        .subcommand(config())
        .subcommand(Command::new("status").about("Show the processes of the fleet"))
        .subcommand(
            Command::new("drain")
                .about("Begin a graceful shutdown of one process")
                .arg(host_arg("Process to shut down")),
        )
        .subcommand(timeline())
        .subcommand(explain())
        .subcommand(
            Command::new("completions")
                .about("Print completions for a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn connection_args() -> [Arg; 5] {
    let path = |id: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .global(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    [
        Arg::new("admin")
            .long("admin")
            .global(true)
            .value_name("IP:PORT")
            .help("Admin address of an entry host"),
        Arg::new("platform")
            .long("platform")
            .global(true)
            .value_name("URL")
            .help("Base URL of the platform's object API"),
        path("certificate", "PEM file with the operator's certificate"),
        path("key", "PEM file with the operator's key").requires("certificate"),
        path("authority", "PEM file with the authority of the daemons").requires("key"),
    ]
}

fn paths_arg() -> Arg {
    Arg::new("paths")
        .required(true)
        .num_args(1..)
        .value_name("PATH")
        .value_parser(value_parser!(PathBuf))
        .help("Files, or folders in which all *eelgrasshold.json are collected")
}

fn host_arg(help: &'static str) -> Arg {
    Arg::new("host")
        .required(true)
        .value_name("HOST")
        .help(help)
}

fn check() -> Command {
    Command::new("check")
        .about("Collect and validate configuration files")
        .arg(paths_arg())
}

fn publish() -> Command {
    Command::new("publish")
        .about("Collect, validate and publish configuration files")
        .arg(paths_arg())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .help("Publish only if this revision is the present one"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Show the difference and publish nothing"),
        )
        .arg(
            Arg::new("allow-removals")
                .long("allow-removals")
                .action(ArgAction::SetTrue)
                .help("Publish even if services, teams or groups are removed"),
        )
}

fn config() -> Command {
    Command::new("config")
        .about("Show, compare or wait for the published configuration")
        .subcommand_required(true)
        .subcommand(Command::new("show").about("Show the published configuration"))
        .subcommand(
            Command::new("diff")
                .about("Compare files with the published configuration")
                .arg(paths_arg()),
        )
        .subcommand(
            Command::new("wait")
                .about("Wait until a revision is in force on every host")
                .arg(
                    Arg::new("revision")
                        .value_name("REVISION")
                        .value_parser(value_parser!(u64))
                        .help("Revision; by default the published one"),
                )
                .arg(
                    Arg::new("timeout")
                        .long("timeout")
                        .value_name("DURATION")
                        .default_value("30s")
                        .value_parser(humantime::parse_duration)
                        .help("Longest wait"),
                ),
        )
}

fn timeline() -> Command {
    Command::new("timeline")
        .about("Merge the events of all processes into one time line")
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .help("Only about this request"),
        )
        .arg(
            Arg::new("group")
                .long("group")
                .value_name("ID")
                .help("Only about this group"),
        )
        .arg(
            Arg::new("since")
                .long("since")
                .value_name("DURATION")
                .value_parser(humantime::parse_duration)
                .help("Only this recent, such as 10m"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tell from log lines what happened to one request")
        .arg(
            Arg::new("request")
                .required(true)
                .value_name("ID")
                .help("Id of the request, as its caller sent it"),
        )
        .arg(
            Arg::new("paths")
                .num_args(1..)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Logs of the processes; by default, or as -, standard input"),
        )
}

/// Returns the value of a text argument, if given.
pub fn text<'a>(matches: &'a ArgMatches, id: &str) -> Option<&'a str> {
    matches.get_one::<String>(id).map(String::as_str)
}

/// Returns the values of the argument `paths`, in their order.
pub fn paths(matches: &ArgMatches) -> Vec<PathBuf> {
    matches
        .get_many::<PathBuf>("paths")
        .unwrap_or_default()
        .cloned()
        .collect()
}
