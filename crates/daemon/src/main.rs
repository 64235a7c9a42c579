//! The daemon: reads its settings, runs its role and shuts down gracefully on SIGTERM.

mod cli;
mod logs;
mod run;
mod settings;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = cli::parse();
    let settings = match settings::read(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("eelgrassholdd: {error}");
            return ExitCode::from(cli::EXIT_SETTINGS);
        }
    };
    if args.check {
        for note in &settings.notes {
            println!("{}: {note}", args.settings.display());
        }
        println!("{}: the settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let writer = match logs::init(settings.log_level) {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!("eelgrassholdd: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = run::run(&args.settings, settings);
    writer.close();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(run::RunError::Cut { open }) => {
            eprintln!("eelgrassholdd: {open} requests were cut");
            ExitCode::from(cli::EXIT_CUT)
        }
        Err(error) => {
            eprintln!("eelgrassholdd: {error}");
            ExitCode::FAILURE
        }
    }
}
