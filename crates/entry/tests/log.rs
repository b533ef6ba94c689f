//! The log: lost responses to appends, corrupt entries, retention, outages, ended incarnations, and peers.

mod support;

use rattanfall_core::fleet::{Fleet, MemberState, split_snapshot};
use rattanfall_core::ids::{MemberId, Offset};
use rattanfall_core::record::{Batch, Origin, Record, encode};
use rattanfall_entry::instance::Instance;
use rattanfall_wire::peer::{Hello, PEER_VERSION, PeerClient, PeerError};
use rattanfall_wire::platform::FIRST_OFFSET;
use support::harness::{Harness, KEY, settings, start};
use support::http::send;
use support::platform::FakePlatform;
use support::until;
use support::worker::Mode;
use tarpc::tokio_serde::formats::Bincode;

fn fleet(instance: &Instance) -> Fleet {
    instance.shell.read(|engine| engine.fleet().clone())
}

/// Guards against a change that is lost or applied twice when the response to its append is lost (P11).
#[tokio::test(flavor = "multi_thread")]
async fn applies_a_change_once_when_the_response_to_its_append_is_lost() {
    let harness = Harness::start().await;
    let mut config = harness.operate("GET", "/v1/config", b"").await.json();
    harness.platform.state.lock().lose_responses = 2;
    config["declaration"]["teams"]["growers"]["limit"] = 5.into();
    let response = harness.operate("PUT", "/v1/config", config.to_string().as_bytes()).await;
    assert_eq!((response.status, response.json()["value"].as_u64()), (200, Some(2)), "{}", response.text());
    assert_eq!(fleet(&harness.instance).version, 2);
}

/// Guards against a replica that stops at an entry that cannot be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn skips_a_corrupt_entry() {
    let harness = Harness::start().await;
    harness.platform.put(b"damaged".to_vec());
    assert_eq!(harness.operate("POST", "/v1/pools/spare/maintenance", b"").await.status, 200);
    assert_eq!(harness.instance.shell.read(|engine| engine.counters().corrupt_entries), 1);
}

/// Guards against a replica that skips an entry of a newer release and then differs from the other replicas.
#[tokio::test(flavor = "multi_thread")]
async fn stops_at_an_entry_of_another_release() {
    let harness = Harness::start().await;
    let before = fleet(&harness.instance);
    let body = b"newer";
    let checksum = crc32fast::hash(&[&[200], &body[..]].concat());
    harness.platform.put([&[200], &checksum.to_le_bytes()[..], body].concat());
    assert_ne!(harness.operate("POST", "/v1/pools/spare/maintenance", b"").await.status, 200);
    assert_eq!(fleet(&harness.instance).applied, before.applied);
    assert_eq!(harness.instance.shell.read(|engine| engine.counters().corrupt_entries), 0);
}

/// Guards against an incomplete state after the log has dropped its first entries, and against serving before the state
/// is restored (P11).
#[tokio::test(flavor = "multi_thread")]
async fn starts_from_a_snapshot_when_the_log_lost_its_start() {
    let harness = Harness::start().await;
    let state = fleet(&harness.instance);
    let (author, covers) = (state.live_members().next().unwrap(), state.applied.unwrap());
    let sequence = state.members[&author].sequence + 100;
    let parts = split_snapshot(&state, 9);
    let records = parts.into_iter().map(Record::SnapshotPart).collect();
    let late = FakePlatform::start().await;
    late.state.lock().instances = harness.platform.state.lock().instances.clone();
    let kept = covers.0 + 1;
    late.state.lock().entries = vec![Vec::new(); usize::try_from(covers.0).unwrap()];
    late.state.lock().earliest = kept;
    let second = start(&settings("entry-2", late.address));
    let ready = || async { send(second.operators(), "GET", "/readyz", &[], b"").await.status };
    assert_eq!(ready().await, 503);
    late.put(encode(&Batch { origin: Origin::Member(author), sequence, records }));
    until("readiness", || async { ready().await == 200 }).await;
    assert_eq!(fleet(&second).declaration, state.declaration);
    let response =
        send(second.callers(), "GET", "/v1/pools/quotes/call/a", &[KEY, "x-deadline-ms: 9000"], b"").await;
    assert!(matches!(response.header("x-reason"), "" | "deadline" | "no-worker"), "{}", response.text());
}

/// Guards against requests that wait for the log, and against reporting a change as not made although it may still take
/// effect.
#[tokio::test(flavor = "multi_thread")]
async fn serves_requests_while_the_log_is_down() {
    let harness = Harness::start().await;
    harness.platform.set_down(true);
    for _ in 0..20 {
        assert_eq!(harness.call("GET", &[KEY], b"").await.status, 200);
    }
    let response = harness.operate("POST", "/v1/pools/spare/maintenance", b"").await;
    assert_eq!((response.status, response.json()["error"].as_str()), (504, Some("unknown")));
    harness.platform.set_down(false);
    until("a change", || async {
        harness.operate("POST", "/v1/pools/spare/maintenance", b"").await.status == 200
    })
    .await;
}

/// Guards against an incarnation that continues to act after the log ended it: it must join again with a new nonce.
#[tokio::test(flavor = "multi_thread")]
async fn joins_again_after_its_incarnation_ended() {
    let harness = Harness::start().await;
    let member = harness.instance.shell.member().unwrap();
    let nonce = harness.instance.shell.read(|engine| engine.options().nonce);
    let other = Record::Join(rattanfall_core::record::Join {
        name: "entry-9".into(),
        nonce: 99,
        zone: "zone-b".into(),
        address: "127.0.0.1:9".into(),
        ends: Vec::new(),
    });
    harness.platform.put(encode(&Batch { origin: Origin::Joining(99), sequence: 1, records: vec![other] }));
    until("the other member", || async { fleet(&harness.instance).members.len() == 2 }).await;
    let author = *fleet(&harness.instance).members.last_key_value().unwrap().0;
    let gone = Batch { origin: Origin::Member(author), sequence: 1, records: vec![Record::Gone { member }] };
    harness.platform.put(encode(&gone));
    until("the second join", || async { harness.instance.shell.member().is_some_and(|now| now > author) })
        .await;
    assert_ne!(harness.instance.shell.read(|engine| engine.options().nonce), nonce);
    assert!(matches!(fleet(&harness.instance).members[&member].state, MemberState::Gone(_)));
    until("readiness", || async {
        send(harness.instance.operators(), "GET", "/readyz", &[], b"").await.status == 200
    })
    .await;
}

/// Guards against an instance whose state is not updated while only this instance cannot reach the platform: it reads
/// the log from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn follows_the_log_through_a_peer() {
    let harness = Harness::start().await;
    let own = harness.platform.other_address().await;
    let second = start(&settings("entry-2", own.address));
    until("both members", || async { fleet(&harness.instance).live_members().count() == 2 }).await;
    until("the second state", || async { fleet(&second).applied == fleet(&harness.instance).applied }).await;
    own.set_down(true);
    let mut config = harness.operate("GET", "/v1/config", b"").await.json();
    config["declaration"]["teams"]["growers"]["limit"] = 5.into();
    assert_eq!(harness.operate("PUT", "/v1/config", config.to_string().as_bytes()).await.status, 200);
    until("the change at the second instance", || async { fleet(&second).version == 2 }).await;
    let age = second.shell.read(|engine| engine.view(second.shell.now()).view_age_ms);
    assert!(age.unwrap() > 0, "a peer's tail counted as the end of the log");
}

/// Guards against loads that do not reach peers, and against digests that an instance sends to itself.
#[tokio::test(flavor = "multi_thread")]
async fn exchanges_digests() {
    let harness = Harness::start().await;
    let second = start(&settings("entry-2", harness.platform.address));
    until("both members", || async { fleet(&harness.instance).live_members().count() == 2 }).await;
    harness.worker.next([Mode::Held]);
    let (to, path) = (harness.instance.callers(), "/v1/pools/quotes/call/a");
    let call = tokio::spawn(async move { send(to, "GET", path, &[KEY], b"").await.status });
    until("the load at the second instance", || async {
        let now = second.shell.now();
        second.shell.read(|engine| engine.view(now).fleet.iter().map(|load| load.running).sum::<u32>()) == 1
    })
    .await;
    harness.worker.release();
    assert_eq!(call.await.unwrap(), 200);
}

/// Guards against serving a peer of another release, whose messages may have a different meaning.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_peer_of_another_version() {
    let harness = Harness::start().await;
    let connect = || async {
        let transport = tarpc::serde_transport::tcp::connect(harness.instance.peers, Bincode::default).await;
        PeerClient::new(tarpc::client::Config::default(), transport.unwrap()).spawn()
    };
    let context = tarpc::context::current;
    let refused = Err(PeerError::Version { ours: PEER_VERSION });
    let old = connect().await;
    let hello = Hello { version: PEER_VERSION + 1, name: "old".into() };
    assert_eq!(old.hello(context(), hello).await.unwrap(), refused);
    assert!(old.tail(context(), Offset(0)).await.unwrap().is_err());
    let own = connect().await;
    let hello = Hello { version: PEER_VERSION, name: "new".into() };
    assert_eq!(own.hello(context(), hello).await.unwrap().unwrap().name, "entry-1");
    let snapshot = own.snapshot(context()).await.unwrap().unwrap();
    assert_eq!(Fleet::restore(&snapshot).unwrap().version, 1);
    let members = fleet(&harness.instance).members;
    assert!(members.contains_key(&MemberId(FIRST_OFFSET)), "the first entry was not applied: {members:?}");
}
