//! `check` and `publish`.

use clap::ArgMatches;
use eelgrasshold_core::config::{Config, Difference, PublishOutcome, diff};
use eelgrasshold_net::platform::{publish_config, read_config};
use serde_json::json;

use super::{
    CommandError, ConflictSnafu, RefusedSnafu, RemovalSnafu, UnavailableSnafu, admin_client,
    platform,
};
use crate::cli;
use crate::collect::{Collected, collect};
use crate::output;

/// Collects and validates the files and prints what they define.
pub(super) fn check(args: &ArgMatches) -> Result<(), CommandError> {
    let Collected { config, files } = collect(&cli::paths(args))?;
    let (services, teams, groups) = (
        config.services.len(),
        config.teams.len(),
        config.groups.len(),
    );
    if args.get_flag("json") {
        let files = files.len();
        output::json(
            &json!({"files": files, "services": services, "teams": teams, "groups": groups}),
        );
    } else {
        let files = files.len();
        output::line(&format!(
            "{files} files are valid: {services} services, {teams} teams, {groups} groups"
        ));
    }
    Ok(())
}

/// Collects and validates the files, prints the difference to the published configuration and
/// publishes them.
pub(super) async fn publish(args: &ArgMatches) -> Result<(), CommandError> {
    let Collected { config: next, .. } = collect(&cli::paths(args))?;
    let platform = platform(args)?;
    let base = read_config(&platform).await?;
    let changes = diff(&base, &next);
    check_base(args, &base)?;
    if !args.get_flag("json") {
        print_changes(&changes);
    }
    if changes.is_empty() {
        report(args, base.revision, &changes, "unchanged");
        return Ok(());
    }
    check_removals(args, &base, &next)?;
    if args.get_flag("dry-run") {
        report(args, base.revision, &changes, "not published");
        return Ok(());
    }
    let in_force = highest_in_force(args).await?;
    match publish_config(&platform, base, next, in_force).await {
        PublishOutcome::Accepted(revision) => {
            report(args, revision, &changes, "published");
            Ok(())
        }
        PublishOutcome::Conflict { revision, changed } => ConflictSnafu {
            revision,
            changes: format_changes(&changed),
        }
        .fail(),
        PublishOutcome::Unavailable { unknown: false } => UnavailableSnafu {
            outcome: "nothing was published",
        }
        .fail(),
        PublishOutcome::Unavailable { unknown: true } => {
            let outcome = "it is unknown whether the configuration was published; \
                           run `eelctl config diff` when the platform is up";
            UnavailableSnafu { outcome }.fail()
        }
        PublishOutcome::Refused(reason) => RefusedSnafu { reason }.fail(),
    }
}

fn check_base(args: &ArgMatches, base: &Config) -> Result<(), CommandError> {
    match args.get_one::<u64>("base") {
        Some(&expected) if expected != base.revision => {
            let changes = format!("(revision {expected} was expected)");
            ConflictSnafu {
                revision: base.revision,
                changes,
            }
            .fail()
        }
        _ => Ok(()),
    }
}

fn check_removals(args: &ArgMatches, base: &Config, next: &Config) -> Result<(), CommandError> {
    let services = base
        .services
        .keys()
        .filter(|name| !next.services.contains_key(*name));
    let teams = base
        .teams
        .keys()
        .filter(|name| !next.teams.contains_key(*name));
    let groups = base
        .groups
        .keys()
        .filter(|name| !next.groups.contains_key(*name));
    let names: Vec<String> = services
        .map(|name| format!("services.{name}"))
        .chain(teams.map(|name| format!("teams.{name}")))
        .chain(groups.map(|name| format!("groups.{name}")))
        .collect();
    if names.is_empty() || args.get_flag("allow-removals") {
        return Ok(());
    }
    RemovalSnafu {
        names: names.join(", "),
    }
    .fail()
}

/// Returns the highest revision that any member reports, or 0 without `--admin`.
async fn highest_in_force(args: &ArgMatches) -> Result<u64, CommandError> {
    let Some(address) = cli::text(args, "admin") else {
        return Ok(0);
    };
    let status = admin_client(args)?.status(address).await?;
    let members = status.members.iter().map(|member| member.revision);
    Ok(members.chain([status.revision]).max().unwrap_or(0))
}

fn format_changes(changes: &[Difference]) -> String {
    changes
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

pub(super) fn print_changes(changes: &[Difference]) {
    if !changes.is_empty() {
        output::line(&format_changes(changes));
    }
}

fn report(args: &ArgMatches, revision: u64, changes: &[Difference], outcome: &str) {
    if args.get_flag("json") {
        output::json(&json!({"outcome": outcome, "revision": revision, "changes": changes}));
    } else {
        output::line(&format!("revision {revision}: {outcome}"));
    }
}
