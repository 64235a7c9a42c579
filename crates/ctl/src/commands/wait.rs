//! `config wait`: polls the processes until all have a revision.
//!
//! A process that has the revision is not polled again, so a wait takes one small request per
//! process, and a few more for those that lag behind.

use std::collections::BTreeSet;
use std::time::Duration;

use clap::ArgMatches;
use eelgrasshold_net::admin::MemberStatus;
use eelgrasshold_net::platform::read_config;
use serde_json::json;
use tokio::time::Instant;

use super::{CommandError, NotInForceSnafu, admin_address, admin_client, platform};
use crate::admin::AdminClient;
use crate::output;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub(super) async fn wait(args: &ArgMatches) -> Result<(), CommandError> {
    let (admin_client, address) = (admin_client(args)?, admin_address(args)?);
    let revision = match args.get_one::<u64>("revision") {
        Some(revision) => *revision,
        None => read_config(&platform(args)?).await?.revision,
    };
    let timeout = args
        .get_one::<Duration>("timeout")
        .copied()
        .unwrap_or_default();
    let deadline = Instant::now() + timeout;
    let mut up_to_date = BTreeSet::new();
    loop {
        let outdated = outdated_hosts(&admin_client, address, revision, &mut up_to_date).await?;
        if outdated.is_empty() {
            report(args, revision, up_to_date.len());
            return Ok(());
        }
        if Instant::now() >= deadline {
            return NotInForceSnafu {
                revision,
                hosts: outdated.join(", "),
            }
            .fail();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Polls the members that are not in `up_to_date`, and adds to it those that now have the revision.
/// Returns a description of each of the others.
async fn outdated_hosts(
    admin_client: &AdminClient,
    address: &str,
    revision: u64,
    up_to_date: &mut BTreeSet<String>,
) -> Result<Vec<String>, CommandError> {
    let members = admin_client.status(address).await?.members;
    let pending: Vec<MemberStatus> = members
        .into_iter()
        .filter(|member| !up_to_date.contains(&member.host))
        .collect();
    let mut outdated = Vec::new();
    for (member, answer) in admin_client.get_all::<u64>(pending, "/v1/revision").await {
        match answer {
            Ok(has) if has >= revision => {
                up_to_date.insert(member.host);
            }
            Ok(has) => outdated.push(format!("{} (has {has})", member.host)),
            Err(_) => outdated.push(format!(
                "{} ({}, does not answer)",
                member.host, member.state
            )),
        }
    }
    outdated.sort();
    Ok(outdated)
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
