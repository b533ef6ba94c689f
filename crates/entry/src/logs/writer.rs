//! Rate-limited log writer that never blocks.
//!
//! Lines go through a bounded queue to a writer thread. A line is dropped if the queue is full or the limit of lines
//! per second is reached; a later line reports how many were dropped.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Most lines in the queue.
const QUEUE_LINES: usize = 4_096;
/// Time for which the writer thread collects lines before it writes them together.
const BATCH_TIME: Duration = Duration::from_millis(10);
/// Window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// Sends lines to the writer thread. Each call of `write` must be one complete line.
#[derive(Debug)]
pub struct RateLimitedWriter {
    lines: SyncSender<Vec<u8>>,
    max_lines: usize,
    window_start: Instant,
    written: usize,
    dropped: usize,
}

impl RateLimitedWriter {
    /// Starts a thread that writes to `output` at most `max_lines` lines per second.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn new(output: impl Write + Send + 'static, max_lines: usize) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new().name("log".into()).spawn(move || write_lines(output, &queue))?;
        Ok(Self { lines, max_lines, window_start: Instant::now(), written: 0, dropped: 0 })
    }

    /// Starts a new window if the last one has ended. Returns the number of lines dropped since the last report.
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
    while let Ok(mut batch) = lines.recv() {
        std::thread::sleep(BATCH_TIME);
        lines.try_iter().for_each(|line| batch.extend(line));
        // If the output fails, the failure cannot be reported anywhere.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
