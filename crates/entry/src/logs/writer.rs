//! Rate-limited log writer that never blocks.
//!
//! Lines go through a queue to a writer thread. Each class of lines has a limit of lines per second and of lines in the
//! queue. A line above one of them is dropped; a later line reports how many were.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use super::Class;

/// Most lines of a class in the queue.
const QUEUE_LINES: usize = 2_048;
/// Time for which the writer thread collects lines before it writes them together.
const BATCH_TIME: Duration = Duration::from_millis(10);
/// Most bytes that are written at once, unless one line is longer. A pipe takes as many whole (`PIPE_BUF`), so that its
/// reader gets no parts of lines.
const WRITE_BYTES: usize = 4_096;
/// Window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// Line on its way to the writer thread.
struct Line {
    bytes: Vec<u8>,
    /// Lines of its class in the queue.
    queued: Arc<AtomicUsize>,
}

impl Line {
    fn take(self) -> Vec<u8> {
        self.queued.fetch_sub(1, Ordering::Relaxed);
        self.bytes
    }
}

/// Sends lines of a class to the writer thread. Each call of `write` must be one complete line.
#[derive(Debug)]
pub struct RateLimitedWriter {
    lines: Sender<Line>,
    queued: Arc<AtomicUsize>,
    class: Class,
    max_lines: usize,
    window_start: Instant,
    written: usize,
    dropped: usize,
}

impl RateLimitedWriter {
    /// Starts a thread that writes to `output` at most `max_lines` lines of the class per second.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn new(output: impl Write + Send + 'static, class: Class, max_lines: usize) -> io::Result<Self> {
        let (lines, queue) = channel();
        std::thread::Builder::new().name("log".into()).spawn(move || write_lines(output, &queue))?;
        Ok(Self::on(lines, class, max_lines))
    }

    /// Writer of another class to the same output, with limits of its own.
    #[must_use]
    pub fn beside(&self, class: Class, max_lines: usize) -> Self {
        Self::on(self.lines.clone(), class, max_lines)
    }

    fn on(lines: Sender<Line>, class: Class, max_lines: usize) -> Self {
        let queued = Arc::default();
        Self { lines, queued, class, max_lines, window_start: Instant::now(), written: 0, dropped: 0 }
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

    fn send(&mut self, bytes: Vec<u8>) {
        if self.written >= self.max_lines {
            self.dropped += 1;
            return;
        }
        self.written += 1;
        // Only this writer adds lines to the count.
        if self.queued.load(Ordering::Relaxed) >= QUEUE_LINES {
            self.dropped += 1;
            return;
        }
        self.queued.fetch_add(1, Ordering::Relaxed);
        if self.lines.send(Line { bytes, queued: Arc::clone(&self.queued) }).is_err() {
            self.dropped += 1;
        }
    }
}

impl Write for RateLimitedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let dropped = self.advance_window();
        if dropped > 0 {
            let class = self.class.name();
            let notice = format!(
                "{{\"class\":\"{class}\",\"level\":\"warn\",\"message\":\"log lines were dropped\",\"lines\":{dropped}}}\n"
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

fn write_lines(mut output: impl Write, lines: &Receiver<Line>) {
    while let Ok(line) = lines.recv() {
        let mut batch = line.take();
        std::thread::sleep(BATCH_TIME);
        let written = lines.try_iter().try_for_each(|line| {
            let bytes = line.take();
            if batch.len() + bytes.len() > WRITE_BYTES {
                output.write_all(&batch)?;
                batch.clear();
            }
            batch.extend(bytes);
            Ok(())
        });
        // If the output fails, the failure cannot be reported anywhere.
        if written.and_then(|()| output.write_all(&batch)).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
