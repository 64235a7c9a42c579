//! Dispatch to the commands, each in its module, and their errors.

mod config;
mod explain;
mod fleet;
mod publish;
mod timeline;
mod wait;

use clap::ArgMatches;
use eelgrasshold_net::platform::{Platform, ReadError};
use eelgrasshold_net::tls::{Identity, TlsError};
use snafu::Snafu;

use crate::admin::{AdminClient, AdminError};
use crate::cli;
use crate::collect::CollectError;

/// Errors of commands.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// An argument that this command requires is missing.
    #[snafu(display("--{name} is needed for this command"))]
    Missing {
        /// Long name of the argument, without dashes.
        name: &'static str,
    },
    /// The configuration files can't be read or are invalid.
    #[snafu(display("{source}"), context(false))]
    Collect { source: CollectError },
    /// The certificate files can't be read or used.
    #[snafu(display("{source}"), context(false))]
    Tls { source: TlsError },
    /// The published configuration can't be read.
    #[snafu(display("{source}"), context(false))]
    Read { source: ReadError },
    /// A request to an admin address failed.
    #[snafu(display("{source}"), context(false))]
    Admin { source: AdminError },
    /// Another operator published since the base revision.
    #[snafu(display(
        "revision {revision} was published in the meantime; it changed:\n{changes}\nCollect again on top of it"
    ))]
    Conflict {
        /// Revision that is published now.
        revision: u64,
        /// One change per line, or the revision that `--base` expected.
        changes: String,
    },
    /// Services, teams or groups would be removed, and `--allow-removals` is not set.
    #[snafu(display("{names} would be removed; add --allow-removals if this is intended"))]
    Removal {
        /// Qualified names, such as `teams.classers`, separated by commas.
        names: String,
    },
    /// The platform did not answer while the configuration was being published.
    #[snafu(display("the platform does not answer; {outcome}"))]
    Unavailable {
        /// Whether the configuration may have been published.
        outcome: &'static str,
    },
    /// The new or the published configuration can't be used.
    #[snafu(display("the configuration was refused: {reason}"))]
    Refused { reason: String },
    /// Some hosts lack the revision after the timeout.
    #[snafu(display("revision {revision} is not in force on: {hosts}"))]
    NotInForce {
        revision: u64,
        /// Hosts, each with the revision that it has, separated by commas.
        hosts: String,
    },
    #[snafu(display("can't read {}: {source}", path.display()))]
    Log {
        path: std::path::PathBuf,
        source: std::io::Error,
    },
    /// The logs have no event of the request.
    #[snafu(display(
        "no log line of request `{request}`; give the logs of all processes of that time"
    ))]
    NoLines { request: String },
    /// The entry host knows no member of this name.
    #[snafu(display("there is no process `{host}`; `eelctl status` lists them"))]
    UnknownHost { host: String },
}

impl CommandError {
    /// Returns the exit code, as listed in the help text.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Missing { .. } | Self::Collect { .. } | Self::Tls { .. } | Self::Log { .. } => 2,
            Self::Conflict { .. } | Self::Removal { .. } => 3,
            Self::Unavailable { .. }
            | Self::Read {
                source: ReadError::Unavailable,
            }
            | Self::Admin {
                source: AdminError::Unreachable { .. },
            } => 4,
            Self::NotInForce { .. } => 5,
            _ => 1,
        }
    }
}

/// Runs the command that the arguments select.
///
/// # Errors
///
/// Fails with the error of the command.
pub async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("check", args)) => publish::check(args),
        Some(("publish", args)) => publish::publish(args).await,
        Some(("config", args)) => config::run(args).await,
        Some(("status", args)) => fleet::status(args).await,
        Some(("drain", args)) => fleet::drain(args).await,
        Some(("timeline", args)) => timeline::timeline(args).await,
        Some(("explain", args)) => explain::explain(args),
        Some(("completions", args)) => {
            completions(args);
            Ok(())
        }
        // Unreachable: clap requires one of the subcommands above.
        _ => Ok(()),
    }
}

fn completions(args: &ArgMatches) {
    if let Some(shell) = args.get_one::<clap_complete::Shell>("shell") {
        clap_complete::generate(
            *shell,
            &mut cli::command(),
            "eelctl",
            &mut std::io::stdout(),
        );
    }
}

fn admin_address(args: &ArgMatches) -> Result<&str, CommandError> {
    cli::text(args, "admin").ok_or(CommandError::Missing { name: "admin" })
}

fn admin_client(args: &ArgMatches) -> Result<AdminClient, CommandError> {
    let path = |name| args.get_one::<std::path::PathBuf>(name);
    let identity = match (path("certificate"), path("key"), path("authority")) {
        (Some(chain), Some(key), Some(authority)) => {
            Some(Identity::from_files(chain, key, authority)?)
        }
        (None, _, _) => None,
        (_, None, _) => return MissingSnafu { name: "key" }.fail(),
        (_, _, None) => return MissingSnafu { name: "authority" }.fail(),
    };
    Ok(AdminClient::new(identity))
}

fn platform(args: &ArgMatches) -> Result<Platform, CommandError> {
    let url = cli::text(args, "platform").ok_or(CommandError::Missing { name: "platform" })?;
    Ok(Platform::for_operator(url))
}
