//! Processor time and memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in `/proc`, fixed on Linux.
const TICKS_PER_S: f64 = 100.0;

/// User and system time that a process has used; none if it has exited.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in parentheses may contain spaces; user and system time are fields 14 and 15.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(Duration::from_secs_f64(ticks / TICKS_PER_S))
}

/// Resident memory of a process in megabytes; none if it has exited.
pub fn resident_mb(pid: u32) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024.0 / 1e6)
}
