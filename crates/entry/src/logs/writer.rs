//! Writer of the log that never blocks and bounds its volume.
//!
//! Lines go through a bounded queue to a thread of their own. A line that finds the queue full, or that is above the
//! most lines of a second, is dropped; a later line says how many were.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 4_096;
/// Span over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Sends lines to the thread that writes them.
#[derive(Debug)]
pub struct RateLimitedWriter {
    lines: SyncSender<Vec<u8>>,
    max_lines: usize,
    window_start: Instant,
    written: usize,
    dropped: usize,
}

impl RateLimitedWriter {
    /// Writes at most a number of lines a second to an output.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn new(output: impl Write + Send + 'static, max_lines: usize) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new().name("log".into()).spawn(move || write_lines(output, &queue))?;
        Ok(Self { lines, max_lines, window_start: Instant::now(), written: 0, dropped: 0 })
    }

    /// Starts a new second. Returns the lines that were dropped in the last.
    fn advance_window(&mut self) -> usize {
        if self.window_start.elapsed() < WINDOW {
            return 0;
        }
        self.window_start = Instant::now();
        self.written = 0;
        std::mem::take(&mut self.dropped)
    }

    fn send(&mut self, line: Vec<u8>) {
        if self.written >= self.max_lines {
            self.dropped += 1;
            return;
        }
        self.written += 1;
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
    }
}

impl Write for RateLimitedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let dropped = self.advance_window();
        if dropped > 0 {
            let notice = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines were dropped\",\"lines\":{dropped}}}\n"
            );
            self.send(notice.into_bytes());
        }
        self.send(line.to_vec());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>) {
    while let Ok(line) = lines.recv() {
        // Without an output there is nowhere to report to.
        if output.write_all(&line).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
