//! `status` and `drain`.

use clap::ArgMatches;

use super::{CommandError, UnknownHostSnafu, admin_address, admin_client};
use crate::cli;
use crate::output;

pub(super) async fn status(args: &ArgMatches) -> Result<(), CommandError> {
    let status = admin_client(args)?.status(admin_address(args)?).await?;
    if args.get_flag("json") {
        output::json(&status);
        return Ok(());
    }
    let ready = if status.ready {
        "ready".to_owned()
    } else {
        status.reason.clone()
    };
    output::line(&format!(
        "{} ({}, {}): {ready}, revision {}, {} requests held",
        status.host, status.role, status.data_centre, status.revision, status.held
    ));
    let rows = status.members.iter().map(|m| {
        vec![
            m.host.clone(),
            m.role.clone(),
            m.data_centre.clone(),
            m.service.clone(),
            m.state.clone(),
            m.revision.to_string(),
            m.admin_address.clone(),
        ]
    });
    let headings = [
        "host",
        "role",
        "data centre",
        "service",
        "state",
        "revision",
        "admin",
    ];
    output::line(&output::table(&headings, &rows.collect::<Vec<_>>()));
    Ok(())
}

pub(super) async fn drain(args: &ArgMatches) -> Result<(), CommandError> {
    let (admin_client, address) = (admin_client(args)?, admin_address(args)?);
    let host = cli::text(args, "host").unwrap_or_default();
    let status = admin_client.status(address).await?;
    let member = status.members.iter().find(|member| member.host == host);
    let Some(member) = member else {
        return UnknownHostSnafu { host }.fail();
    };
    admin_client
        .post(&member.admin_address, "/v1/drain")
        .await?;
    if args.get_flag("json") {
        output::json(&serde_json::json!({"host": host, "draining": true}));
    } else {
        output::line(&format!(
            "{host} drains; `eelctl status` shows when it is gone"
        ));
    }
    Ok(())
}
