//! The commands, each in its module, and the errors that end them.

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

use crate::admin::{AdminError, Admins};
use crate::cli;
use crate::collect::CollectError;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// An argument is missing.
    #[snafu(display("--{name} is needed for this command"))]
    Missing {
        /// Argument.
        name: &'static str,
    },
    /// Files can't be used.
    #[snafu(display("{source}"), context(false))]
    Collect {
        /// Cause.
        source: CollectError,
    },
    /// Certificates can't be used.
    #[snafu(display("{source}"), context(false))]
    Tls {
        /// Cause.
        source: TlsError,
    },
    /// The published configuration can't be read.
    #[snafu(display("{source}"), context(false))]
    Read {
        /// Cause.
        source: ReadError,
    },
    /// A daemon gave no usable answer.
    #[snafu(display("{source}"), context(false))]
    Admin {
        /// Cause.
        source: AdminError,
    },
    /// Someone else published.
    #[snafu(display(
        "revision {revision} was published meanwhile; it changed:\n{changes}\nCollect again on top of it"
    ))]
    Conflict {
        /// Present revision.
        revision: u64,
        /// What changed.
        changes: String,
    },
    /// Something would be removed.
    #[snafu(display("{names} would be removed; add --allow-removals if that is meant"))]
    Removal {
        /// What.
        names: String,
    },
    /// The platform doesn't answer.
    #[snafu(display("the platform does not answer; {outcome}"))]
    Unavailable {
        /// What is known.
        outcome: &'static str,
    },
    /// The configuration was refused.
    #[snafu(display("the configuration was refused: {reason}"))]
    Refused {
        /// Reason.
        reason: String,
    },
    /// Some hosts lack a revision.
    #[snafu(display("revision {revision} is not in force on: {hosts}"))]
    NotInForce {
        /// Revision.
        revision: u64,
        /// Hosts, each with what it has.
        hosts: String,
    },
    /// A log can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Log {
        /// Path.
        path: std::path::PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// No line of the logs is about a request.
    #[snafu(display(
        "no line is about request `{request}`; give the logs of all processes of that time"
    ))]
    NoLines {
        /// Request.
        request: String,
    },
    /// There is no such host.
    #[snafu(display("there is no process `{host}`; `eelctl status` lists them"))]
    UnknownHost {
        /// Host.
        host: String,
    },
}

impl CommandError {
    /// Exit code, as the help lists it.
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

/// Runs the command that was given.
///
/// # Errors
///
/// If it fails; the error says what to do.
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
        // The command line requires one of the commands above.
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

fn admins(args: &ArgMatches) -> Result<Admins, CommandError> {
    let path = |name| args.get_one::<std::path::PathBuf>(name);
    let identity = match (path("certificate"), path("key"), path("authority")) {
        (Some(chain), Some(key), Some(authority)) => {
            Some(Identity::from_files(chain, key, authority)?)
        }
        (None, _, _) => None,
        (_, None, _) => return MissingSnafu { name: "key" }.fail(),
        (_, _, None) => return MissingSnafu { name: "authority" }.fail(),
    };
    Ok(Admins::new(identity))
}

fn platform(args: &ArgMatches) -> Result<Platform, CommandError> {
    let url = cli::text(args, "platform").ok_or(CommandError::Missing { name: "platform" })?;
    Ok(Platform::for_operator(url))
}
