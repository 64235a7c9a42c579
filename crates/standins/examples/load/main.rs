//! Sends load to running daemons and compares their latency with direct calls.

mod args;
mod report;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let args = args::command().get_matches();
    let summary = args::load(&args).run().await;
    if args.get_flag("json") {
        report::print_json(&summary);
    } else {
        report::print_table(&summary);
    }
    if summary.wrong_answers() > 0 || summary.complete_answers() == 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
