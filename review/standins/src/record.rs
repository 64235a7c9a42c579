//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static FILE: OnceLock<Mutex<File>> = OnceLock::new();
static START: OnceLock<Instant> = OnceLock::new();

/// Opens the record.
pub fn open(path: &str) {
    START.get_or_init(Instant::now);
    match File::create(path) {
        Ok(file) => drop(FILE.set(Mutex::new(file))),
        Err(error) => crate::not_run(&format!("can't write {path}: {error}")),
    }
}

/// Seconds since the start.
pub fn seconds() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes a line.
pub fn line(text: &str) {
    let line = format!("{:9.3} {text}\n", seconds());
    if let Some(file) = FILE.get() {
        if let Ok(mut file) = file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// Writes a line and prints it.
pub fn say(text: &str) {
    line(text);
    println!("{:9.3} {text}", seconds());
}
