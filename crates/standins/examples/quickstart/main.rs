//! Runs a whole fleet on loopback, sends it work, breaks parts of it, and checks what must hold.

mod cli;
mod faults;
mod keep;
mod summary;
mod work;

use std::process::ExitCode;
use std::sync::Arc;

use eelgrasshold_standins::fleet::{Fleet, FleetBuilder, FleetError};

use cli::Args;
use summary::Summary;

fn main() -> ExitCode {
    let args = cli::parse();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs everything; true if every property held.
async fn run(args: &Args) -> Result<bool, FleetError> {
    let say = |text: &str| {
        if !args.json {
            println!("{text}");
        }
    };
    say("starting a platform, 12 engines, 3 plain services, 15 upstream processes, 6 entry hosts");
    let fleet = start(args).await?;
    say("the fleet is ready; sending drafts, reservations and status calls");
    let fleet = Arc::new(tokio::sync::Mutex::new(fleet));
    let plan = work::Plan::new(args.seed);
    let (reports, notes) = tokio::join!(work::send(&fleet, &plan), faults::cause(&fleet, &say));
    let fleet = Arc::try_unwrap(fleet).map_or_else(|_| None, |m| Some(m.into_inner()));
    let Some(fleet) = fleet else {
        eprintln!("the fleet is still in use");
        return Ok(false);
    };
    let summary = Summary::new(args.seed, &reports, &notes, &fleet);
    if args.json {
        println!("{}", summary.to_json());
    } else {
        println!("{}", summary.to_text());
    }
    let held = summary.held();
    if args.keep {
        keep::keep(fleet).await;
    } else {
        fleet.close().await;
    }
    Ok(held)
}

async fn start(args: &Args) -> Result<Fleet, FleetError> {
    FleetBuilder::default()
        .entries(6)
        .engines(12)
        .plain_services(3)
        .seed(args.seed)
        .start()
        .await
}
