//! `explain`: reconstructs what happened to one request from log files or standard input.

use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;

use clap::ArgMatches;
use serde_json::json;
use snafu::ResultExt;

use super::{CommandError, LogSnafu};
use crate::cli;
use crate::explain::{Explanation, rows};
use crate::output;

/// Path that denotes standard input.
const STDIN: &str = "-";

pub(super) fn explain(args: &ArgMatches) -> Result<(), CommandError> {
    let request = cli::text(args, "request").unwrap_or_default();
    let mut explanation = Explanation::new(request);
    let paths = cli::paths(args);
    if paths.is_empty() {
        read(&mut explanation, Path::new(STDIN))?;
    }
    for path in &paths {
        read(&mut explanation, path)?;
    }
    let (bad_lines, left_out) = (explanation.bad_lines, explanation.left_out);
    let events = explanation.events();
    if args.get_flag("json") {
        output::json(&json!({
            "request": request,
            "events": events,
            "bad_lines": bad_lines,
            "lines_left_out": left_out,
        }));
    } else {
        let headings = ["ms", "process", "event", "name", "about"];
        if !events.is_empty() {
            output::line(&output::table(&headings, &rows(request, &events)));
        }
        if bad_lines > 0 {
            eprintln!("eelctl: skipped {bad_lines} lines that are not log lines of a daemon");
        }
        if left_out > 0 {
            eprintln!("eelctl: the daemons left out {left_out} lines, so some may be missing here");
        }
    }
    if events.is_empty() {
        return Err(CommandError::NoLines {
            request: request.to_owned(),
        });
    }
    Ok(())
}

fn read(explanation: &mut Explanation, path: &Path) -> Result<(), CommandError> {
    let read = if path == Path::new(STDIN) {
        explanation.read(io::stdin().lock())
    } else {
        File::open(path).and_then(|f| explanation.read(BufReader::new(f)))
    };
    read.context(LogSnafu { path })
}
