//! `config show`, `config diff` and `config wait`.

use clap::ArgMatches;
use eelgrasshold_core::config::diff;
use eelgrasshold_net::platform::read_config;

use super::publish::print_changes;
use super::{CommandError, platform, wait};
use crate::cli;
use crate::collect::collect;
use crate::output;

pub(super) async fn run(args: &ArgMatches) -> Result<(), CommandError> {
    match args.subcommand() {
        Some(("show", args)) => show(args).await,
        Some(("diff", args)) => compare(args).await,
        Some(("wait", args)) => wait::wait(args).await,
        // Unreachable: clap requires one of the subcommands above.
        _ => Ok(()),
    }
}

async fn show(args: &ArgMatches) -> Result<(), CommandError> {
    let cfg = read_config(&platform(args)?).await?;
    if args.get_flag("json") {
        output::json(&cfg);
        return Ok(());
    }
    output::line(&format!("revision {}", cfg.revision));
    let services = cfg.services.iter().map(|(name, service)| {
        let kind = format!("{:?}", service.kind).to_lowercase();
        vec![
            name.clone(),
            kind,
            service.concurrency.to_string(),
            service.default_deadline_ms.to_string(),
        ]
    });
    let headings = ["service", "kind", "concurrency", "deadline ms"];
    output::line(&output::table(&headings, &services.collect::<Vec<_>>()));
    let teams = cfg.teams.iter().map(|(name, team)| {
        let limit = team
            .requests_per_s
            .map_or("-".to_owned(), |rate| rate.to_string());
        vec![name.clone(), team.weight.to_string(), limit]
    });
    output::line(&output::table(
        &["team", "weight", "requests/s"],
        &teams.collect::<Vec<_>>(),
    ));
    let groups = cfg.groups.iter().map(|(name, group)| {
        let sizes = [group.ranks, group.layers, group.experts_per_layer];
        let cells = sizes.iter().map(ToString::to_string);
        [name.clone(), group.service.clone()]
            .into_iter()
            .chain(cells)
            .collect()
    });
    let headings = ["group", "service", "ranks", "layers", "experts"];
    output::line(&output::table(
        &headings,
        &groups.collect::<Vec<Vec<String>>>(),
    ));
    Ok(())
}

async fn compare(args: &ArgMatches) -> Result<(), CommandError> {
    let next = collect(&cli::paths(args))?.config;
    let published = read_config(&platform(args)?).await?;
    let changes = diff(&published, &next);
    if args.get_flag("json") {
        output::json(&changes);
    } else if changes.is_empty() {
        output::line(&format!(
            "the files say what revision {} says",
            published.revision
        ));
    } else {
        print_changes(&changes);
    }
    Ok(())
}
