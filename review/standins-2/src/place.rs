//! Loopback addresses, free ports, a temporary folder and the project's own processes.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Ports that a case may use, the same on all its addresses.
const PORTS: usize = 6;

pub struct Place {
    net: (u8, u8),
    ports: Vec<u16>,
    folder: PathBuf,
}

impl Place {
    /// Finds ports that are free on `addresses` addresses of loopback.
    pub fn new(addresses: usize) -> Place {
        let pid = std::process::id();
        let net = (20 + (pid % 200) as u8, (pid / 200 % 250) as u8);
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let mut place = Place {
            net,
            ports: Vec::new(),
            folder,
        };
        let mut port = 21_000 + (pid % 400) as u16 * 25;
        while place.ports.len() < PORTS {
            port += 1;
            let free =
                |index: usize| TcpListener::bind(SocketAddr::new(place.ip(index), port)).is_ok();
            if (0..addresses).all(free) {
                place.ports.push(port);
            }
        }
        place
    }

    pub fn ip(&self, index: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, index as u8 + 1))
    }

    pub fn port(&self, number: usize) -> u16 {
        self.ports[number]
    }

    /// Starts the daemon with the command of the deploy file, on settings of its own.
    pub fn daemon(&self, name: &str, settings: &str) -> Process {
        let file = self.write(name, settings);
        self.start(name, &file)
    }

    /// Writes the settings of a process.
    pub fn write(&self, name: &str, settings: &str) -> PathBuf {
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings).expect("settings can be written");
        file
    }

    fn start(&self, name: &str, file: &PathBuf) -> Process {
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log can be opened");
        let child = Command::new("target/release/eelgrassholdd")
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log can be shared"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.note_pid(child.id());
                Process { child }
            }
            Err(error) => {
                eprintln!("can't start the daemon: {error}");
                std::process::exit(2);
            }
        }
    }

    /// Tells the script of the case which process it has to end if this one can't.
    fn note_pid(&self, pid: u32) {
        let Ok(file) = std::env::var("PIDS") else {
            return;
        };
        let file = File::options().append(true).open(file);
        let noted = file.and_then(|mut f| writeln!(f, "{pid}"));
        noted.expect("a process id can be noted");
    }

    /// Last line that a process has written.
    pub fn log(&self, name: &str) -> String {
        let log = fs::read_to_string(self.folder.join(format!("{name}.log")));
        let log = log.unwrap_or_default();
        log.lines().last().unwrap_or_default().to_owned()
    }

    /// Writes the record and removes the temporary folder.
    pub fn finish(&self, record: &str) {
        let file = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        fs::write(file, record).expect("the record can be written");
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

pub struct Process {
    child: Child,
}

impl Process {
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        assert!(sent.is_ok_and(|s| s.success()), "a signal can be sent");
    }

    pub fn end(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
