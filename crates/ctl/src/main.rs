//! The operators' client: checks and publishes configuration, and inspects the fleet.

mod admin;
mod cli;
mod collect;
mod commands;
mod explain;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("eelctl: can't set up the process: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("eelctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
