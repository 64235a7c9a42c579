//! Standard output behind a bounded queue, so that a reader who stalls holds no request.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender, TryRecvError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Lines that wait for the reader; about a megabyte.
const QUEUED_LINES: usize = 4_096;
/// Time for which lines are gathered before they are written, since each write wakes a thread.
const GATHER_TIME: Duration = Duration::from_millis(40);
/// Bytes that are written at once.
const BATCH_BYTES: usize = 64 << 10;
/// Time for which the end of the process waits for a reader who has stalled.
const CLOSE_LIMIT: Duration = Duration::from_millis(300);

/// Lines that were dropped because the reader of standard output had stalled.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped since the start.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The sending half: takes bytes, queues whole lines and never waits.
pub struct Queue {
    line: Vec<u8>,
    tx: SyncSender<Vec<u8>>,
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if self.tx.try_send(line).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what is queued.
pub struct Writer {
    thread: JoinHandle<()>,
    ended: Receiver<()>,
    end: SyncSender<Vec<u8>>,
}

/// Starts a writer to `out`; returns it with the queue.
///
/// # Errors
///
/// If no thread can be started.
pub fn start(out: impl Write + Send + 'static) -> io::Result<(Queue, Writer)> {
    let (tx, rx) = mpsc::sync_channel(QUEUED_LINES);
    let (ending, ended) = mpsc::sync_channel(1);
    let thread = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            run(&rx, out);
            // Nobody waits if the process has ended meanwhile.
            let _ = ending.try_send(());
        })?;
    let queue = Queue {
        line: Vec::new(),
        tx: tx.clone(),
    };
    let end = tx;
    Ok((queue, Writer { thread, ended, end }))
}

impl Writer {
    /// Writes what is still queued, as far as the reader takes it in a short time.
    pub fn close(self) {
        // An empty line ends the thread; a full queue means that the reader has stalled.
        let sent = self.end.try_send(Vec::new()).is_ok();
        if sent && self.ended.recv_timeout(CLOSE_LIMIT) != Err(RecvTimeoutError::Timeout) {
            // The thread has ended, so this does not wait.
            let _ = self.thread.join();
        }
    }
}

fn run(rx: &Receiver<Vec<u8>>, mut out: impl Write) {
    let mut told = 0;
    while let Ok(first) = rx.recv() {
        let mut batch = first;
        let mut ended = batch.is_empty();
        if !ended {
            std::thread::sleep(GATHER_TIME);
        }
        while !ended && batch.len() < BATCH_BYTES {
            match rx.try_recv() {
                Ok(line) if line.is_empty() => ended = true,
                Ok(line) => batch.extend(line),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        let dropped = dropped_lines();
        if dropped > told {
            let count = dropped - told;
            told = dropped;
            let line = format!(
                "{{\"level\":\"warn\",\"event\":1008,\"name\":\"LinesLeftOut\",\"count\":{count},\
                 \"message\":\"standard output was not read in time\"}}\n"
            );
            batch.extend(line.into_bytes());
        }
        // A reader that is gone takes no more lines, and there is nowhere else to tell it.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() || ended {
            return;
        }
    }
}
