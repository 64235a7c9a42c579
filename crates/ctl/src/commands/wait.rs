//! `config wait`: asks each process for its revision until all have it.
//!
//! A process that has the revision is not asked again, so that a wait costs
//! one small call a process and a few more for those that are late.

use std::collections::BTreeSet;
use std::time::Duration;

use clap::ArgMatches;
use eelgrasshold_net::admin::MemberStatus;
use eelgrasshold_net::platform::read_config;
use serde_json::json;
use tokio::time::Instant;

use super::{CommandError, NotInForceSnafu, admin_address, admins, platform};
use crate::admin::Admins;
use crate::output;

/// Pause between rounds of questions.
const PAUSE: Duration = Duration::from_millis(200);

pub(super) async fn wait(args: &ArgMatches) -> Result<(), CommandError> {
    let (admins, address) = (admins(args)?, admin_address(args)?);
    let revision = match args.get_one::<u64>("revision") {
        Some(revision) => *revision,
        None => read_config(&platform(args)?).await?.revision,
    };
    let timeout = args
        .get_one::<Duration>("timeout")
        .copied()
        .unwrap_or_default();
    let deadline = Instant::now() + timeout;
    let mut have = BTreeSet::new();
    loop {
        let late = late_hosts(&admins, address, revision, &mut have).await?;
        if late.is_empty() {
            report(args, revision, have.len());
            return Ok(());
        }
        if Instant::now() >= deadline {
            return NotInForceSnafu {
                revision,
                hosts: late.join(", "),
            }
            .fail();
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Asks the processes that did not have the revision before; names those that still lack it.
async fn late_hosts(
    admins: &Admins,
    address: &str,
    revision: u64,
    have: &mut BTreeSet<String>,
) -> Result<Vec<String>, CommandError> {
    let members = admins.status(address).await?.members;
    let unknown: Vec<MemberStatus> = members
        .into_iter()
        .filter(|member| !have.contains(&member.host))
        .collect();
    let mut late = Vec::new();
    for (member, answer) in admins.get_all::<u64>(unknown, "/v1/revision").await {
        match answer {
            Ok(has) if has >= revision => {
                have.insert(member.host);
            }
            Ok(has) => late.push(format!("{} (has {has})", member.host)),
            Err(_) => late.push(format!(
                "{} ({}, does not answer)",
                member.host, member.state
            )),
        }
    }
    late.sort();
    Ok(late)
}

fn report(args: &ArgMatches, revision: u64, hosts: usize) {
    if args.get_flag("json") {
        output::json(&json!({"revision": revision, "hosts": hosts}));
    } else {
        output::line(&format!(
            "revision {revision} is in force on all {hosts} hosts"
        ));
    }
}
