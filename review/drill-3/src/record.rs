//! What was sent, answered and run, in `record.txt` and in memory.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub request: String,
    pub replica: String,
    pub target: String,
    pub ran: bool,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    arrivals: Mutex<Vec<Arrival>>,
    crashes: Mutex<Vec<Duration>>,
    sent: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt")),
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            sent: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    pub fn sent(&self, request: &str, to: &str, target: &str) {
        self.line(&format!("caller sends {request} {target} to {to}"));
        self.sent
            .lock()
            .expect("the record")
            .push((self.now(), request.to_owned()));
    }

    pub fn arrival(&self, request: &str, replica: &str, target: &str, ran: bool) {
        let what = if ran {
            "runs it"
        } else {
            "is full, rejects it"
        };
        self.line(&format!(
            "{request} reaches replica {replica}, which {what}"
        ));
        self.arrivals.lock().expect("the record").push(Arrival {
            at: self.now(),
            request: request.to_owned(),
            replica: replica.to_owned(),
            target: target.to_owned(),
            ran,
        });
    }

    pub fn crash(&self) {
        self.crashes.lock().expect("the record").push(self.now());
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("the record").clone()
    }

    pub fn crashes(&self) -> Vec<Duration> {
        self.crashes.lock().expect("the record").clone()
    }

    /// Requests of callers, with the times at which they were sent.
    pub fn requests(&self) -> Vec<(Duration, String)> {
        self.sent.lock().expect("the record").clone()
    }
}
