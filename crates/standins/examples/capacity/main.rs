//! Measures a fleet of daemons on loopback: processor time, memory, control traffic, platform
//! calls, configuration propagation and failure detection.

mod cli;
mod fleet;
mod measure;
mod proc;

use std::process::ExitCode;

use serde::Serialize;

/// A measured value, with the same fields as the rows of the experiments.
#[derive(Clone, Debug, Serialize)]
struct Row {
    experiment: &'static str,
    policy: &'static str,
    metric: String,
    x: usize,
    value: f64,
}

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
    for processes in &args.processes {
        match runtime.block_on(measure::run(&args, *processes)) {
            Ok(rows) => rows.iter().for_each(|row| print(row, args.json)),
            Err(error) => {
                eprintln!("{processes} processes: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn print(row: &Row, json: bool) {
    if json {
        println!("{}", serde_json::to_string(row).unwrap_or_default());
    } else {
        println!("{:>5}  {:34} {:>12.3}", row.x, row.metric, row.value);
    }
}
