//! Sends digests to all live members. Each member has a link of its own, so a silent one delays no other.

use std::collections::HashMap;
use std::sync::Arc;

use rattanfall_core::engine::Event;
use rattanfall_core::engine::event::Digest;
use rattanfall_core::ids::MemberId;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Directions;
use super::client::gossip;
use crate::shell::Shell;

/// Keeps a link to each live member until the task is aborted.
pub async fn run_gossip(
    shell: Arc<Shell>,
    peers: Arc<Directions>,
    mut digest: watch::Receiver<Option<Digest>>,
) {
    let mut tasks = JoinSet::new();
    let mut links = HashMap::<MemberId, tokio::task::AbortHandle>::new();
    while digest.changed().await.is_ok() {
        let members: HashMap<MemberId, String> = peers.members().into_iter().collect();
        links.retain(|member, task| {
            let live = members.contains_key(member);
            if !live {
                task.abort();
            }
            live
        });
        for (member, address) in members {
            links.entry(member).or_insert_with(|| {
                tasks.spawn(link(Arc::clone(&shell), Arc::clone(&peers), address, digest.clone()))
            });
        }
        while tasks.try_join_next().is_some() {}
    }
}

/// Sends each new digest to one member. A digest that becomes old while the last one is on its way is skipped.
async fn link(
    shell: Arc<Shell>,
    peers: Arc<Directions>,
    address: String,
    mut digests: watch::Receiver<Option<Digest>>,
) {
    let mut client = None;
    digests.mark_changed();
    while digests.changed().await.is_ok() {
        let Some(digest) = digests.borrow_and_update().clone() else {
            continue;
        };
        if client.is_none() {
            client = peers.connect(&address).await;
        }
        let Some(open) = &client else {
            continue;
        };
        match gossip(open, digest).await {
            Some(Ok(answer)) => shell.handle(Event::Digest(answer)),
            Some(Err(_)) => {}
            None => client = None,
        }
    }
}
