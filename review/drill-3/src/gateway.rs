//! Processes of the system on entry hosts, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Patience, call};
use crate::record::Record;

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub control: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    metrics: SocketAddr,
    store: SocketAddr,
    folder: PathBuf,
    record: Arc<Record>,
    child: Option<Child>,
    bounds: Bounds,
}

/// Bounds of an installation, as its sheet gives them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub settle_ms: u32,
    pub retry_slack: u32,
    /// `cold_overage` and `cold_slack`, where the sheet has them.
    pub cold: Option<(f64, f64)>,
}

/// The sheet of `lfx-wool`.
pub const LFX_WOOL: Bounds = Bounds {
    settle_ms: 3_000,
    retry_slack: 90,
    cold: None,
};

/// The sheet of `quispe-recetas-grown`.
pub const QUISPE: Bounds = Bounds {
    settle_ms: 4_000,
    retry_slack: 200,
    cold: Some((1.5, 5.0)),
};

impl Gateway {
    pub fn new(
        name: &str,
        bounds: Bounds,
        store: SocketAddr,
        folder: &Path,
        record: &Arc<Record>,
    ) -> Self {
        let free = crate::ports::free;
        Self {
            name: name.to_owned(),
            callers: free(),
            control: free(),
            ready: free(),
            directory: free(),
            metrics: free(),
            store,
            folder: folder.to_owned(),
            record: Arc::clone(record),
            child: None,
            bounds,
        }
    }

    /// Starts the process with the settings that the template of the deploy file gives it.
    pub fn start(&mut self, first_start: bool, seeds: &[SocketAddr]) {
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let Bounds {
            settle_ms,
            retry_slack,
            cold,
        } = self.bounds;
        let cold = cold.map_or(String::new(), |(overage, slack)| {
            format!("\"cold_overage\":{overage},\"cold_slack\":{slack},")
        });
        let settings = format!(
            "{{\"role\":\"gateway\",\"host\":\"{}\",\"region\":\"r\",\"data_centre\":\"z-a\",\
             \"data_address\":\"{}\",\"control_address\":\"{}\",\"seeds\":[{}],\
             \"platform_url\":\"http://{}\",\"drain_limit_s\":8,\"metrics_address\":\"{}\",\
             \"first_start\":{first_start},\"allow_plain_links\":true,\"gateway\":{{\
             \"ready_address\":\"{}\",\"directory_address\":\"{}\",\"answer_validity_s\":5,\
             \"store_settle_ms\":{settle_ms},\"retry_ratio\":0.2,\"retry_allowance\":{retry_slack},\
             \"retry_window_s\":10,{cold}\"sidecar_port\":7340,\"memory_mb\":260,\
             \"max_descriptors\":4200,\"pause_control\":true}}}}",
            self.name,
            self.callers,
            self.control,
            seeds.join(","),
            self.store,
            self.metrics,
            self.ready,
            self.directory
        );
        let path = self.folder.join(format!("{}.json", self.name));
        fs::write(&path, settings).expect("the settings");
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let child = Command::new("target/release/eelgrassholdd")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child
            .unwrap_or_else(|error| panic!("can't start target/release/eelgrassholdd: {error}"));
        // For `run.sh`, if this process is ended itself.
        let pids = self.folder.join("pids");
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(pids)
            .expect("a file");
        writeln!(pids, "{}", child.id()).expect("a file");
        self.child = Some(child);
        self.record.line(&format!("process {} starts", self.name));
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let patience = Patience {
            time: Duration::from_millis(500),
        };
        call(self.ready, text, b"", patience).status == 200
    }

    pub fn wait_until_ready(&self) {
        let began = Instant::now();
        while !self.is_ready() {
            if began.elapsed() > Duration::from_secs(15) {
                panic!("{} is not ready", self.name);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("process {} is ready", self.name));
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("process {} was killed", self.name));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
