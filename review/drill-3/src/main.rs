//! Plays one case of the review: the system's own processes on loopback, with small stand-ins round them.
//!
//! `drill-3 CASE RECORD FOLDER`, from the root of the repository; settings and logs go to FOLDER. Exits with 1 if the rule was broken, with 0 if it held
//! and with 2 if the case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod gateway;
mod http;
mod ports;
mod record;
mod replica;
mod store;

use std::sync::Arc;

use record::Record;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path), Some(folder)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: drill-3 CASE RECORD FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::create(&path));
    let folder = std::path::PathBuf::from(folder);
    let play: fn(&Arc<Record>, &std::path::Path, bool) -> cases::Verdict = match case.as_str() {
        "restart" => cases::restart,
        "seeds" => cases::seeds,
        "cold" => cases::cold,
        "apart" => cases::apart,
        "leave" => cases::leave,
        _ => {
            eprintln!("no case `{case}`");
            std::process::exit(2);
        }
    };
    // A case that can't run panics, which ends the processes that it started.
    let played = std::panic::catch_unwind(|| play(&record, &folder, trouble));
    let Ok(verdict) = played else {
        std::process::exit(2);
    };
    record.line(&verdict.text);
    println!("{}", verdict.text);
    std::process::exit(i32::from(verdict.broken));
}
