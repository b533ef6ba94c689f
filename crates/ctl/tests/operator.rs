//! Commands against fake instances: results, conflicts, lost responses and unreachable instances.

#![allow(clippy::unwrap_used, reason = "a failed step of a test fails the test")]

mod support;

use std::collections::BTreeMap;

use insta::assert_snapshot;
use rattanctl::Exit;
use rattanfall_core::declaration::{Declaration, Exception, Pool, Team};
use rattanfall_wire::operator::{Accepted, Config, Explanation, Status};
use rattanfall_wire::work::{Count, Job, MachineOrder, Placement, Pool as PoolView, Step, Wave, Work};
use rstest::rstest;
use serde_json::{Value, json};
use support::{FakeInstance, Reply, mask_addresses, refusing_address, run, run_at};

const FILE: &str = "tests/files/fleet.toml";

fn declaration(limit: u32) -> Declaration {
    let pool = Pool { min_serving: 6, ..Pool::default() };
    let exception = |pool: &str| Exception {
        pool: Some(pool.into()),
        team: None,
        field: "queue_length".into(),
        value: 50,
        reason: "Callers on the phone do not wait longer.".into(),
    };
    Declaration {
        pools: BTreeMap::from([("orders".into(), pool)]),
        teams: BTreeMap::from([("alder".into(), Team { share: 40, limit })]),
        exceptions: vec![exception("orders")],
        ..Declaration::default()
    }
}

fn config(limit: u32) -> Reply {
    Reply::json(&Config { version: 5, declaration: declaration(limit) })
}

fn accepted(value: u64) -> Reply {
    Reply::json(&Accepted { offset: 812, value: Some(value) })
}

/// Guards against a diff that leaves out a kind of change or names the wrong version.
#[test]
fn diff_shows_every_kind_of_change() {
    let mut declaration = declaration(240);
    declaration.defaults.drains = 2;
    declaration.pools.insert("quotes".into(), Pool::default());
    declaration.exceptions[0].pool = None;
    let config = Reply::json(&Config { version: 5, declaration });
    let fake = FakeInstance::start([config.clone(), config]);
    let addresses = [fake.address.as_str()];
    let output = run_at(&addresses, &["diff", FILE], "");
    assert_eq!(output.exit, Exit::Ok);
    assert_snapshot!("diff", output.out);
    assert_snapshot!("diff_json", run_at(&addresses, &["diff", FILE, "--json"], "").out);
}

/// Guards against a change that is sent against another version than the one that was shown.
#[test]
fn apply_names_the_version_it_read() {
    let fake = FakeInstance::start([config(240), accepted(6)]);
    let output = run_at(&[&fake.address], &["apply", FILE], "y\n");
    assert_eq!(output.exit, Exit::Ok, "{}", output.err);
    assert_snapshot!("apply", format!("{}{}", output.out, output.err));
    assert_eq!(fake.lines(), ["GET /v1/config", "PUT /v1/config"]);
    let sent: Config = serde_json::from_str(&fake.received()[1].body).unwrap();
    assert_eq!(sent, Config { version: 5, declaration: declaration(260) });
    assert_eq!(fake.received()[1].authorization, format!("Bearer {}", support::CREDENTIAL));
}

/// Guards against a change that was not confirmed: any answer but yes, and the end of the input, must send nothing.
#[rstest]
#[case::no("n\n")]
#[case::end("")]
#[case::other("yesterday\n")]
fn apply_asks(#[case] input: &str) {
    let fake = FakeInstance::start([config(240)]);
    let output = run_at(&[&fake.address], &["apply", FILE], input);
    assert_eq!(output.exit, Exit::Refused);
    assert_eq!(fake.lines(), ["GET /v1/config"]);
}

/// Guards against a new version of the declaration without a change.
#[rstest]
#[case::read(&["apply", FILE, "--yes"])]
#[case::old_base(&["apply", FILE, "--yes", "--base", "4"])]
fn apply_without_change(#[case] args: &[&str]) {
    let fake = FakeInstance::start([config(260)]);
    let output = run_at(&[&fake.address], args, "");
    assert_eq!((output.exit, output.out.as_str()), (Exit::Ok, "nothing to change; version 5\n"));
    assert_eq!(fake.lines(), ["GET /v1/config"]);
}

/// Guards against a conflicting change that is reported as a success or an outage.
#[test]
fn apply_conflict() {
    let message = "the change was made against version 5, the current version is 6";
    let fake = FakeInstance::start([config(240), Reply::error(409, "conflict", message)]);
    let output = run_at(&[&fake.address], &["apply", FILE, "--yes"], "");
    assert_eq!(output.exit, Exit::Conflict);
    assert_snapshot!("conflict", output.err);
}

/// Guards against sending a change whose base is older than the running version and thus certain to conflict.
#[test]
fn apply_with_old_base() {
    let fake = FakeInstance::start([config(240)]);
    let output = run_at(&[&fake.address], &["apply", FILE, "--yes", "--base", "4"], "");
    assert_eq!(output.exit, Exit::Conflict);
    assert_eq!(fake.lines(), ["GET /v1/config"]);
}

/// Guards against refusing a change because the instance that responded is behind the operator's last change.
#[test]
fn apply_with_newer_base_is_sent() {
    let fake = FakeInstance::start([config(260), accepted(8)]);
    let output = run_at(&[&fake.address], &["apply", FILE, "--yes", "--base", "7"], "");
    assert_eq!(output.exit, Exit::Ok);
    let sent: Config = serde_json::from_str(&fake.received()[1].body).unwrap();
    assert_eq!(sent.version, 7);
    assert!(output.err.contains("is at version 5, behind base 7"), "{}", output.err);
}

/// Guards against a change that is repeated at another address although it may have taken effect (P8 for operators).
#[rstest]
#[case::closed(Reply::Close)]
#[case::cut(Reply::Truncated)]
#[case::silent(Reply::NoAnswer)]
#[case::not_json(Reply::Answer(200, "ok".into()))]
#[case::server_error(Reply::Answer(500, "panic".into()))]
#[case::unknown(Reply::error(504, "unknown", "the change may still take effect"))]
#[case::new_error(Reply::error(500, "later", "an error of a later version"))]
fn lost_answer_is_unknown(#[case] reply: Reply) {
    let first = FakeInstance::start([reply]);
    let second = FakeInstance::start([accepted(1)]);
    let addresses = [first.address.as_str(), &second.address];
    let output = run_at(&addresses, &["zones", "remove", "zone-a"], "");
    assert_eq!(output.exit, Exit::Unknown, "{}", output.err);
    assert_eq!(first.lines(), ["POST /v1/zones/zone-a/remove"]);
    assert!(second.lines().is_empty());
}

/// Guards against giving up after one address although nothing was sent or changed there.
#[rstest]
#[case::unavailable(Some(Reply::error(503, "unavailable", "nothing was changed")))]
#[case::refused(None)]
fn next_address_makes_the_change(#[case] reply: Option<Reply>) {
    let first = reply.map(|reply| FakeInstance::start([reply]));
    let address = first.as_ref().map_or_else(refusing_address, |fake| fake.address.clone());
    let second = FakeInstance::start([accepted(3)]);
    let output = run_at(&[&address, &second.address], &["zones", "restore", "zone-a", "--base", "2"], "");
    assert_eq!((output.exit, output.out.as_str()), (Exit::Ok, "restored zone zone-a at offset 812\n"));
    assert_eq!(second.received()[0].body, "{\"version\":2}");
}

/// Guards against reads that fail although another instance responds.
#[rstest]
#[case::closed(Reply::Close)]
#[case::cut(Reply::Truncated)]
#[case::silent(Reply::NoAnswer)]
#[case::server_error(Reply::Answer(500, "panic".into()))]
#[case::not_ready(Reply::error(503, "unavailable", "not joined"))]
fn reads_try_the_next_address(#[case] reply: Reply) {
    let first = FakeInstance::start([reply]);
    let second = FakeInstance::start([Reply::json(&Status::default())]);
    let output = run_at(&[&first.address, &second.address], &["keys", "list", "--json"], "");
    assert_eq!((output.exit, output.out.as_str()), (Exit::Ok, "[]\n"), "{}", output.err);
}

/// Guards against an outage report that omits an address or the reason why it failed.
#[test]
fn every_address_fails() {
    let second =
        FakeInstance::start([Reply::error(503, "unavailable", "the platform's log cannot be reached")]);
    let refusing = refusing_address();
    let output = run_at(&[&refusing, &second.address], &["workers", "drain", "w1"], "");
    assert_eq!(output.exit, Exit::Unavailable);
    assert!(output.err.contains(&refusing) && output.err.contains("cannot be reached"), "{}", output.err);
}

/// Guards against a refusal with a wrong exit code or error name.
#[rstest]
#[case::conflict(409, "conflict", Exit::Conflict)]
#[case::invalid(422, "invalid", Exit::Input)]
#[case::unknown_entity(404, "unknown-entity", Exit::Input)]
#[case::malformed(400, "malformed", Exit::Input)]
#[case::budget(409, "budget", Exit::Refused)]
#[case::state(409, "state", Exit::Refused)]
#[case::credential(401, "credential", Exit::Refused)]
#[case::unavailable(503, "unavailable", Exit::Unavailable)]
#[case::unknown(504, "unknown", Exit::Unknown)]
fn refusals(#[case] status: u16, #[case] name: &str, #[case] exit: Exit) {
    let fake = FakeInstance::start([Reply::error(status, name, "refused by the test")]);
    let output = run_at(&[&fake.address], &["pools", "maintain", "orders", "--json"], "");
    assert_eq!(output.exit, exit);
    let error: Value = serde_json::from_str(&output.err).unwrap();
    assert_eq!(error["error"], name);
}

/// Guards against error statuses without a body that are mapped to a wrong error.
#[rstest]
#[case::unauthorized(401, Exit::Refused)]
#[case::no_such_path(404, Exit::Input)]
#[case::server_error(502, Exit::Unknown)]
fn status_without_body(#[case] status: u16, #[case] exit: Exit) {
    let fake = FakeInstance::start([Reply::Answer(status, String::new())]);
    let output = run_at(&[&fake.address], &["workers", "move", "w1", "spare"], "");
    assert_eq!(output.exit, exit);
    assert_eq!(fake.received()[0].body, "{\"pool\":\"spare\"}");
}

/// Guards against sending the key itself, or a hash that does not match the printed key.
#[test]
fn grant_sends_only_the_hash() {
    use sha2::{Digest, Sha256};
    let fake = FakeInstance::start([accepted(7), accepted(8)]);
    let addresses = [fake.address.as_str()];
    let first = run_at(&addresses, &["keys", "grant", "alder"], "");
    let second = run_at(&addresses, &["keys", "grant", "alder"], "");
    let key = first.out.trim();
    assert_eq!((first.exit, key.len()), (Exit::Ok, 64));
    assert_ne!(first.out, second.out);
    assert!(!first.err.contains(key));
    let hash: String = Sha256::digest(key).iter().map(|byte| format!("{byte:02x}")).collect();
    let sent: Value = serde_json::from_str(&fake.received()[0].body).unwrap();
    assert_eq!(sent, json!({ "team": "alder", "hash": hash }));
    assert_eq!(first.err, "granted key 7 to team alder at offset 812; shown only once\n");
}

/// Guards against printing a key that may not be registered.
#[test]
fn grant_with_unknown_result_prints_no_key() {
    let fake = FakeInstance::start([Reply::Close]);
    let output = run_at(&[&fake.address], &["keys", "grant", "alder"], "");
    assert_eq!((output.exit, output.out.as_str()), (Exit::Unknown, ""));
    assert_snapshot!("grant_unknown", mask_addresses(&output.err, &[&fake.address]));
}

/// Guards against changes that are sent to a wrong path.
#[rstest]
#[case(&["keys", "withdraw", "7"], "DELETE /v1/keys/7", "withdrew key 7 at offset 812\n")]
#[case(&["zones", "remove", "a"], "POST /v1/zones/a/remove", "removed zone a at offset 812\n")]
#[case(&["workers", "drain", "w1"], "POST /v1/workers/w1/drain", "started to drain worker w1 at offset 812\n")]
#[case(
    &["workers", "move", "w1", "spare"],
    "POST /v1/workers/w1/move",
    "started to move worker w1 to pool spare at offset 812\n"
)]
#[case(
    &["pools", "maintain", "orders"],
    "POST /v1/pools/orders/maintenance",
    "started maintenance of pool orders at offset 812\n"
)]
fn endpoints(#[case] args: &[&str], #[case] line: &str, #[case] out: &str) {
    let fake = FakeInstance::start([accepted(1)]);
    let output = run_at(&[&fake.address], args, "");
    assert_eq!((output.exit, output.out.as_str()), (Exit::Ok, out));
    assert_eq!(fake.lines(), [line]);
}

/// Guards against tables that omit a column, and against an old view without a warning.
#[test]
fn status_tables() {
    let text = include_str!("files/status.json");
    let fake = FakeInstance::start([200, 200].map(|status| Reply::Answer(status, text.into())));
    let addresses = [fake.address.as_str()];
    let output = run_at(&addresses, &["status"], "");
    assert_snapshot!("status", format!("{}{}", output.out, output.err));
    assert_snapshot!("keys", run_at(&addresses, &["keys", "list"], "").out);
}

/// Guards against JSON output that loses fields of the interface.
#[test]
fn status_json_is_complete() {
    let text = include_str!("files/status.json");
    let fake = FakeInstance::start([Reply::Answer(200, text.into())]);
    let output = run_at(&[&fake.address], &["--json", "status"], "");
    let (shown, sent): (Value, Value) =
        (serde_json::from_str(&output.out).unwrap(), serde_json::from_str(text).unwrap());
    assert_eq!(shown, sent);
}

/// Guards against an explanation without its reasons.
#[test]
fn explain_gives_reasons() {
    let explanation = Explanation {
        id: "t-12-7".into(),
        state: "waiting".into(),
        owner: 12,
        reasons: vec!["team alder runs 240 of 240 slots".into(), "pool renders has no free slot".into()],
    };
    let fake = FakeInstance::start([Reply::json(&explanation)]);
    let output = run_at(&[&fake.address], &["explain", "t-12-7"], "");
    assert_snapshot!("explain", output.out);
    assert_eq!(fake.lines(), ["GET /v1/explain/tasks/t-12-7"]);
}

/// Guards against sending requests for invalid input, and against wrong exit codes.
#[rstest]
#[case::task(&["explain", "t12"], Exit::Input)]
#[case::declaration(&["apply", "tests/files/broken.toml", "--yes"], Exit::Input)]
#[case::name(&["zones", "remove", "a/../b"], Exit::Usage)]
#[case::id(&["keys", "withdraw", "seven"], Exit::Usage)]
#[case::command(&["zones", "destroy", "a"], Exit::Usage)]
#[case::json_question(&["apply", FILE, "--json"], Exit::Usage)]
fn input_errors(#[case] args: &[&str], #[case] exit: Exit) {
    let fake = FakeInstance::start([]);
    let output = run_at(&[&fake.address], args, "");
    assert_eq!(output.exit, exit, "{}", output.err);
    assert!(fake.lines().is_empty());
}

/// Guards against a call without a credential, and against one without an address.
#[rstest]
#[case::credential(&["status", "--operator", "127.0.0.1:1", "--credential", ""], "no credential")]
#[case::address(&["status", "--credential", "c"], "no address")]
fn connection_is_required(#[case] args: &[&str], #[case] message: &str) {
    let output = run(args, "");
    assert_eq!(output.exit, Exit::Usage);
    assert!(output.err.contains(message), "{}", output.err);
}

fn counted(name: &str, count: u64) -> Count {
    Count { name: name.into(), count }
}

/// Guards against a view of accepted work that leaves out the owner, its orders or the waves.
#[test]
fn work_shows_owner_pools_moves_and_waves() {
    let work = Work {
        instance: "edge-a-1-18d".into(),
        version: 7,
        owner: "edge-a-1-18d".into(),
        epoch: 3,
        age_ms: Some(12),
        jobs: vec![counted("running", 12), counted("completed", 340)],
        waiting: vec![counted("quotes", 2)],
        pools: vec![PoolView {
            name: "orders".into(),
            workers: 9,
            open: 8,
            runs: 71,
            used_percent: 64,
            wanted: 11,
        }],
        moves: vec![MachineOrder {
            machine: "m-1".into(),
            pool: "spare".into(),
            goal: "pool orders".into(),
            stage: "taken".into(),
        }],
        waves: vec![Wave { number: 1, machines: 24, begun: 9 }],
    };
    let fake = FakeInstance::start([Reply::json(&work), Reply::json(&work)]);
    let addresses = [fake.address.as_str()];
    assert_snapshot!("work", run_at(&addresses, &["work"], "").out);
    let other_instance = Work { instance: "edge-b-1-18d".into(), pools: Vec::new(), ..work };
    let fake = FakeInstance::start([Reply::json(&other_instance)]);
    let output = run_at(&[fake.address.as_str()], &["work"], "");
    assert!(output.err.contains("known to the owner, edge-a-1-18d"), "{}", output.err);
}

/// Guards against output for a job that omits why its steps wait.
#[test]
fn job_shows_why_its_steps_wait() {
    let id = "5c0e7a21d94b36f8";
    let job = Job {
        id: id.into(),
        queue: "quotes".into(),
        team: Some("moss".into()),
        state: "running".into(),
        steps: vec![
            Step { waiting: 1, placed: 2, done: 3, ..Step::default() },
            Step { step: 1, waiting: 4, failures: 1, ..Step::default() },
        ],
        places: vec![Placement { task: format!("{id}.0.0.1"), run: 2, worker: "w-1".into() }],
        reasons: vec!["step 0 of occurrence 0 waits: all workers of pool orders are full".into()],
    };
    let fake = FakeInstance::start([Reply::json(&job), Reply::error(404, "unknown-entity", "no such job")]);
    let addresses = [fake.address.as_str()];
    assert_snapshot!("job", run_at(&addresses, &["job", id], "").out);
    assert_eq!(run_at(&addresses, &["job", id], "").exit, Exit::Input);
    assert_eq!(run_at(&addresses, &["job", "later"], "").exit, Exit::Input);
    assert!(fake.lines()[0].starts_with(&format!("GET /v1/work/jobs/{id}")), "{:?}", fake.lines());
}
