//! The log writer limits the rate of lines and never blocks the process.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use log::{Level, Log, Record};
use rattanfall_entry::logs::{Class, LimitedLogger, Limits, RateLimitedWriter, RateLimiter};

/// Target of the decisions.
const DECISIONS: &str = "decisions";
/// Time limit for lines that are due.
const WAIT: Duration = Duration::from_secs(5);

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

/// Output that takes no lines until it is opened.
struct GatedOutput {
    /// Open once its sender is dropped.
    gate: Receiver<()>,
    output: ChannelOutput,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.gate.recv();
        self.output.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against an unlimited number of log lines, and against lines that are dropped without a count.
#[test]
fn lines_above_the_limit_per_second_are_dropped_and_counted() {
    let (sender, lines) = channel();
    let mut writer =
        RateLimitedWriter::new(ChannelOutput(sender), Class::Other, 3).expect("the thread starts");
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
    let mut writer =
        RateLimitedWriter::new(BlockedOutput, Class::Other, usize::MAX).expect("the thread starts");
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

/// Logs a record of a line of this file.
fn record(logger: &impl Log, target: &str, line: u32, message: &str) {
    let mut record = Record::builder();
    record.level(Level::Info).target(target).file_static(Some(file!())).line(Some(line));
    logger.log(&record.args(format_args!("{message}")).build());
}

/// Returns the lines up to the one with a message, without it.
fn lines_until(lines: &Receiver<String>, message: &str) -> Vec<serde_json::Value> {
    let parsed = std::iter::from_fn(|| lines.recv_timeout(WAIT).ok())
        .map(|line| serde_json::from_str(&line).expect("a line is JSON"));
    parsed.take_while(|line: &serde_json::Value| line["message"] != message).collect()
}

fn count(lines: &[serde_json::Value], message: &str) -> usize {
    lines.iter().filter(|line| line["message"] == message).count()
}

/// Guards against answers to machine orders that are missing from the log of a surge, as in issue 41: the frequent lines
/// come first in each window, and one place logs most decisions.
#[test]
fn decisions_pass_while_other_lines_are_dropped() {
    let (sender, lines) = channel();
    let limits = [Limits { total: 800, each: 100 }, Limits { total: 400, each: 20 }];
    let logger =
        LimitedLogger::new("info", DECISIONS, limits, ChannelOutput(sender)).expect("the thread starts");
    for _ in 0..1_500 {
        record(&logger, "jobs", 1, "placed");
    }
    for _ in 0..400 {
        record(&logger, DECISIONS, 2, "answered");
        record(&logger, "jobs", 3, "ended");
    }
    record(&logger, DECISIONS, 4, "end");
    let written = lines_until(&lines, "end");
    let counts = ["placed", "answered", "ended"].map(|message| count(&written, message));
    assert_eq!(counts, [400, 400, 20]);
}

/// Guards against decisions without a limit, against one kind of them that hides the others, and against drops that are not
/// reported for each class.
#[test]
fn decisions_are_bounded_and_their_drops_are_reported() {
    let (sender, lines) = channel();
    let limits = [Limits { total: 50, each: 5 }, Limits { total: 10, each: 2 }];
    let logger =
        LimitedLogger::new("info", DECISIONS, limits, ChannelOutput(sender)).expect("the thread starts");
    for _ in 0..200 {
        record(&logger, DECISIONS, 1, "removed");
    }
    for _ in 0..20 {
        record(&logger, DECISIONS, 2, "answered");
        record(&logger, "jobs", 3, "placed");
    }
    std::thread::sleep(Duration::from_millis(1_050));
    record(&logger, "jobs", 3, "end");
    let written = lines_until(&lines, "end");
    let counts = ["removed", "answered", "placed"].map(|message| count(&written, message));
    assert_eq!(counts, [50, 5, 10]);
    let notices = written.iter().filter(|line| line["message"] == "log lines were dropped");
    let dropped: Vec<(&str, u64)> = notices
        .map(|line| (line["class"].as_str().unwrap_or(""), line["lines"].as_u64().unwrap_or(0)))
        .collect();
    assert_eq!(dropped, [("decision", 165), ("other", 10)]);
}

/// Guards against a writer whose limit or queue is used up by frequent lines.
#[test]
fn classes_share_no_limit_of_the_writer() {
    let (sender, lines) = channel();
    let mut other =
        RateLimitedWriter::new(ChannelOutput(sender), Class::Other, 3).expect("the thread starts");
    let mut decisions = other.beside(Class::Decision, 2);
    for _ in 0..10 {
        other.write_all(b"other\n").expect("it never fails");
    }
    for _ in 0..5 {
        decisions.write_all(b"decision\n").expect("it never fails");
    }
    std::thread::sleep(Duration::from_millis(1_050));
    decisions.write_all(b"last\n").expect("it never fails");
    let written: Vec<String> =
        (0..7).map(|_| lines.recv_timeout(WAIT).expect("seven lines are due")).collect();
    assert_eq!(written[..5], ["other\n", "other\n", "other\n", "decision\n", "decision\n"]);
    assert!(
        written[5].contains("\"class\":\"decision\"") && written[5].contains("\"lines\":3"),
        "{}",
        written[5]
    );
    assert_eq!(written[6], "last\n");
}

/// Guards against a queue that frequent lines fill while the output is slow, so that decisions are dropped.
#[test]
fn a_full_queue_of_other_lines_leaves_room_for_decisions() {
    let (sender, lines) = channel();
    let (open, gate) = channel();
    let output = GatedOutput { gate, output: ChannelOutput(sender) };
    let mut other = RateLimitedWriter::new(output, Class::Other, usize::MAX).expect("the thread starts");
    let mut decisions = other.beside(Class::Decision, usize::MAX);
    for _ in 0..20_000 {
        other.write_all(b"other\n").expect("it never fails");
    }
    for _ in 0..1_000 {
        decisions.write_all(b"decision\n").expect("it never fails");
    }
    decisions.write_all(b"last\n").expect("it never fails");
    drop(open);
    let all = std::iter::from_fn(|| lines.recv_timeout(WAIT).ok());
    let written: Vec<String> = all.take_while(|line| line != "last\n").collect();
    assert_eq!(written.iter().filter(|line| *line == "decision\n").count(), 1_000);
    assert!(written.len() < 10_000, "{} lines were queued", written.len());
}

/// Output that sends the bytes of each write to a channel.
struct WritesOutput(Sender<Vec<u8>>);

impl Write for WritesOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(|_| io::ErrorKind::BrokenPipe)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are cut in the log of a surge: the decisions of one moment are written together, and a reader
/// that takes some kilobytes of a write loses the rest.
#[test]
fn lines_of_one_moment_are_written_in_parts_of_whole_lines() {
    let (sender, writes) = channel();
    let mut writer =
        RateLimitedWriter::new(WritesOutput(sender), Class::Decision, usize::MAX).expect("the thread starts");
    let line = format!("{}\n", "x".repeat(199));
    for _ in 0..300 {
        writer.write_all(line.as_bytes()).expect("it never fails");
    }
    let mut missing = 300 * line.len();
    while missing > 0 {
        let write = writes.recv_timeout(WAIT).expect("lines are due");
        assert!(write.len() <= 4_096 && write.ends_with(b"\n"), "{} bytes in a write", write.len());
        missing -= write.len();
    }
}
