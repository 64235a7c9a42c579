//! Writes log lines from a bounded queue on a thread of its own, so that a stalled reader of
//! standard output never blocks a request.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender, TryRecvError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Lines queued at most, about 1 MB; further lines are dropped.
const MAX_QUEUED_LINES: usize = 4_096;
/// Delay before a write, so that lines are written in batches: each write wakes a thread.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Batch size from which no further lines are added.
const BATCH_BYTES: usize = 64 << 10;
/// Longest time that a stalled reader delays the exit of the process.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped because the queue was full, since the process started.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Sending half of the queue: collects bytes, enqueues complete lines and never blocks.
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
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Handle of the thread that writes the queued lines.
pub struct Writer {
    thread: JoinHandle<()>,
    done: Receiver<()>,
    close_tx: SyncSender<Vec<u8>>,
}

/// Starts a thread that writes to `out`; returns its queue and its handle.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn start(out: impl Write + Send + 'static) -> io::Result<(Queue, Writer)> {
    let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let (done_tx, done) = mpsc::sync_channel(1);
    let thread = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            run(&rx, out);
            // The send fails if the handle was dropped; then nothing waits for the thread.
            let _ = done_tx.try_send(());
        })?;
    let queue = Queue {
        line: Vec::new(),
        tx: tx.clone(),
    };
    let close_tx = tx;
    Ok((
        queue,
        Writer {
            thread,
            done,
            close_tx,
        },
    ))
}

impl Writer {
    /// Writes the lines still queued, for at most [`CLOSE_TIMEOUT`].
    pub fn close(self) {
        // An empty line stops the thread. A full queue means that the reader has stalled, so that
        // waiting would not help.
        let sent = self.close_tx.try_send(Vec::new()).is_ok();
        if sent && self.done.recv_timeout(CLOSE_TIMEOUT) != Err(RecvTimeoutError::Timeout) {
            // The thread has signalled its end, so this does not block.
            let _ = self.thread.join();
        }
    }
}

fn run(rx: &Receiver<Vec<u8>>, mut out: impl Write) {
    let mut reported = 0;
    while let Ok(first) = rx.recv() {
        let mut batch = first;
        let mut closing = batch.is_empty();
        if !closing {
            std::thread::sleep(BATCH_DELAY);
        }
        while !closing && batch.len() < BATCH_BYTES {
            match rx.try_recv() {
                Ok(line) if line.is_empty() => closing = true,
                Ok(line) => batch.extend(line),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        let dropped = dropped_lines();
        if dropped > reported {
            let count = dropped - reported;
            reported = dropped;
            let line = format!(
                "{{\"level\":\"warn\",\"event\":1008,\"name\":\"LinesLeftOut\",\"count\":{count},\
                 \"message\":\"standard output was not read in time\"}}\n"
            );
            batch.extend(line.into_bytes());
        }
        // After a write error, standard output is closed and there is nowhere to report it.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() || closing {
            return;
        }
    }
}
