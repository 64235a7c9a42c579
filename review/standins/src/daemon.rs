//! Starts the project's daemon with the command of the deploy file, and ends it.

use std::fs::{self, File};
use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

use serde_json::Value;

/// Processes that run, by id.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A running daemon.
pub struct Daemon {
    child: Child,
}

fn folder() -> PathBuf {
    PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| crate::not_run("WORK is not set")))
}

/// Notes a process id for the script, which ends what this process could not.
fn note(id: u32) {
    let file = File::options()
        .create(true)
        .append(true)
        .open(folder().join("processes"));
    let _ = file.and_then(|mut f| writeln!(f, "{id}"));
}

impl Daemon {
    /// Starts a daemon with settings; its log goes to the work folder.
    pub fn start(name: &str, settings: &Value) -> Self {
        let path = folder().join(format!("{name}.json"));
        let text = serde_json::to_string_pretty(settings).unwrap_or_default();
        if fs::write(&path, text).is_err() {
            crate::not_run("can't write settings");
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder().join(format!("{name}.log")));
        let Ok(log) = log else {
            crate::not_run("can't open a log")
        };
        let spawned = Command::new("target/release/eelgrassholdd")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        match spawned {
            Ok(child) => {
                RUNNING.lock().unwrap().push(child.id());
                note(child.id());
                Self { child }
            }
            Err(error) => crate::not_run(&format!("can't start the daemon: {error}")),
        }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
    }

    /// Whether the process has ended, with its exit text.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
        Some(status.to_string())
    }

    /// Resident memory in bytes; 0 if it can't be read.
    pub fn resident(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) * 1_024
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Kills all daemons that this process started.
pub fn end_all() {
    let ids: Vec<u32> = RUNNING.lock().map(|r| r.clone()).unwrap_or_default();
    for id in ids {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(id.to_string())
            .status();
    }
}
