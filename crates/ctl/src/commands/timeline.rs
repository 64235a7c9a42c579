//! `timeline`: merges the events of all processes into one event timeline.

use std::time::{Duration, SystemTime};

use clap::ArgMatches;
use eelgrasshold_core::event::{Filter, Record, merge};
use eelgrasshold_net::admin::filter_query;
use serde_json::json;

use super::{CommandError, admin_address, admin_client};
use crate::cli;
use crate::output;

pub(super) async fn timeline(args: &ArgMatches) -> Result<(), CommandError> {
    let (admin_client, address) = (admin_client(args)?, admin_address(args)?);
    let filter = filter(args);
    let members = admin_client.status(address).await?.members;
    let path = format!("/v1/timeline?{}", filter_query(&filter));
    let (mut processes, mut unreachable) = (Vec::new(), Vec::new());
    for (member, answer) in admin_client.get_all::<Vec<Record>>(members, &path).await {
        match answer {
            Ok(records) => processes.push(records),
            Err(_) => unreachable.push(member.host),
        }
    }
    unreachable.sort();
    let records = merge(processes, &filter);
    if args.get_flag("json") {
        output::json(&json!({"events": records, "unreachable": unreachable}));
        return Ok(());
    }
    for record in &records {
        output::line(&record.to_string());
    }
    if !unreachable.is_empty() {
        eprintln!(
            "eelctl: these processes did not answer: {}",
            unreachable.join(", ")
        );
    }
    Ok(())
}

fn filter(args: &ArgMatches) -> Filter {
    let from_ms = args.get_one::<Duration>("since").map(|since| {
        let from = SystemTime::now() - *since;
        let since_epoch = from
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    });
    Filter {
        request: cli::text(args, "request").map(str::to_owned),
        group: cli::text(args, "group").map(str::to_owned),
        from_ms,
        until_ms: None,
    }
}
