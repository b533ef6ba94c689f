//! The log writer limits the rate of lines and never blocks the process.

use std::io::{self, Write};
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use rattanfall_entry::logs::{Limits, RateLimitedWriter, RateLimiter};

/// Output that sends each line to a channel.
struct ChannelOutput(Sender<String>);

impl Write for ChannelOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for line in String::from_utf8_lossy(bytes).split_inclusive('\n') {
            self.0.send(line.to_owned()).map_err(|_| io::ErrorKind::BrokenPipe)?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Output whose reader has stopped reading.
struct BlockedOutput;

impl Write for BlockedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against an unlimited number of log lines, and against lines that are dropped without a count.
#[test]
fn lines_above_the_limit_per_second_are_dropped_and_counted() {
    let (sender, lines) = channel();
    let mut writer = RateLimitedWriter::new(ChannelOutput(sender), 3).expect("the thread starts");
    for number in 0..10 {
        writer.write_all(format!("{number}\n").as_bytes()).expect("it never fails");
    }
    std::thread::sleep(Duration::from_millis(1_050));
    writer.write_all(b"later\n").expect("it never fails");
    let wait = Duration::from_secs(5);
    let written: Vec<String> =
        (0..5).map(|_| lines.recv_timeout(wait).expect("five lines are due")).collect();
    assert_eq!(written[..3], ["0\n", "1\n", "2\n"]);
    assert!(written[3].contains("\"lines\":7"), "{}", written[3]);
    assert_eq!(written[4], "later\n");
}

/// Guards against a process that stops because the reader of its log output has stopped reading.
#[test]
fn an_output_that_nobody_reads_does_not_block() {
    let mut writer = RateLimitedWriter::new(BlockedOutput, usize::MAX).expect("the thread starts");
    let start = Instant::now();
    for _ in 0..20_000 {
        writer.write_all(b"line\n").expect("it never fails");
    }
    assert!(start.elapsed() < Duration::from_secs(5));
}

/// Guards against frequent lines that hide rare ones, as the lines of a surge hid the load of the pools.
#[test]
fn rare_lines_pass_while_frequent_ones_are_dropped() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new(Limits { total: 10, each: 2 }, start);
    let frequent = (0..30).filter(|_| limiter.admit(("placing.rs", 1))).count();
    let rare = (0..3).filter(|_| limiter.admit(("load.rs", 2))).count();
    assert_eq!((frequent, rare), (10, 2));
    assert_eq!(limiter.advance(start + Duration::from_millis(900)), 0);
    assert_eq!(limiter.advance(start + Duration::from_secs(1)), 21);
    assert!(limiter.admit(("placing.rs", 1)));
}
