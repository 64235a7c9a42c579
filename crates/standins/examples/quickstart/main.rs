//! Starts a complete fleet on loopback, sends requests, injects faults and checks the results.

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
            eprintln!("can't start the async runtime: {error}");
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

/// Returns whether all checks of the summary passed.
async fn run(args: &Args) -> Result<bool, FleetError> {
    let progress = |text: &str| {
        if !args.json {
            println!("{text}");
        }
    };
    progress(
        "starting a platform, 12 engines, 3 plain services, 15 upstream processes, 6 entry hosts",
    );
    let fleet = start(args).await?;
    progress("the fleet is ready; sending drafts, reservations and status calls");
    let fleet = Arc::new(tokio::sync::Mutex::new(fleet));
    let plan = work::Plan::new(args.seed);
    let (reports, fault_results) =
        tokio::join!(work::send(&fleet, &plan), faults::inject(&fleet, &progress));
    let fleet = Arc::try_unwrap(fleet).map_or_else(|_| None, |m| Some(m.into_inner()));
    let Some(fleet) = fleet else {
        eprintln!("can't evaluate the run: a task still uses the fleet");
        return Ok(false);
    };
    let summary = Summary::new(args.seed, &reports, &fault_results, &fleet);
    if args.json {
        println!("{}", summary.to_json());
    } else {
        println!("{}", summary.to_text());
    }
    let passed = summary.passed();
    if args.keep {
        keep::keep(fleet).await;
    } else {
        fleet.close().await;
    }
    Ok(passed)
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
