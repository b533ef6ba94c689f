//! The executable: exit codes, log lines and signals.

mod support;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use serde_json::Value;
use support::harness::settings;
use support::http::send;
use support::platform::FakePlatform;
use support::{TIMEOUT, until};
use tokio::task::spawn_blocking;
use tokio::time::timeout;

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rattanfall-entry"));
    command.env_clear().stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Reads log lines up to the first one with this message.
fn read_until(child: &mut Child, message: &str) -> Value {
    let lines = BufReader::new(child.stderr.as_mut().expect("piped")).lines();
    let lines =
        lines.map(|line| serde_json::from_str::<Value>(&line.expect("a line")).expect("a JSON object"));
    lines.into_iter().find(|line| line["message"] == message).expect("the message")
}

/// Guards against a start with invalid settings, and against a report that omits some of them.
#[test]
fn refuses_wrong_settings() {
    let Output { status, stderr, .. } =
        program().args(["--threads", "0"]).env("RATTANFALL_NAME", "e").output().expect("run");
    let text = String::from_utf8_lossy(&stderr).into_owned();
    assert!(!status.success());
    for flag in ["--zone", "--credential", "--platform", "--threads", "RATTANFALL_THREADS"] {
        assert!(text.contains(flag), "{flag} is missing:\n{text}");
    }
    assert!(!text.contains("--name "), "a valid setting is reported:\n{text}");
}

/// Guards against a shutdown that hangs or ends with an error code.
#[tokio::test(flavor = "multi_thread")]
async fn exits_with_0_after_sigterm() {
    let platform = FakePlatform::start().await;
    let mut command = program();
    for (flag, text) in settings("entry-1", platform.address) {
        command.arg(format!("--{flag}={text}"));
    }
    let started = spawn_blocking(move || {
        let mut child = command.spawn().expect("start");
        let line = read_until(&mut child, "the entry instance listens");
        (child, line)
    });
    let (mut child, line) = timeout(TIMEOUT, started).await.expect("a start in time").expect("a start");
    let operators = line["operators"].as_str().and_then(|text| text.parse().ok()).expect("an address");
    until("health", || async { send(operators, "GET", "/healthz", &[], b"").await.status == 200 }).await;
    until("the join", || async { !platform.batches().is_empty() }).await;
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill").success());
    let end = spawn_blocking(move || {
        read_until(&mut child, "the entry instance stops");
        child.wait_timeout(TIMEOUT)
    });
    let end = timeout(2 * TIMEOUT, end).await.expect("an end in time");
    assert_eq!(end.expect("a wait"), Some(0));
}

trait WaitTimeout {
    fn wait_timeout(&mut self, limit: Duration) -> Option<i32>;
}

impl WaitTimeout for Child {
    /// Waits for the exit code; kills the process after the limit.
    fn wait_timeout(&mut self, limit: Duration) -> Option<i32> {
        let end = std::time::Instant::now() + limit;
        while std::time::Instant::now() < end {
            if let Some(status) = self.try_wait().expect("wait") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill().expect("kill");
        None
    }
}
