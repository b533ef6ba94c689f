//! Sends digests to all live members, over one connection for each, so that an unresponsive member does not delay
//! the others.

use std::collections::HashMap;
use std::sync::Arc;

use rattanfall_core::engine::Event;
use rattanfall_core::engine::event::Digest;
use rattanfall_core::ids::MemberId;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Peers;
use super::client::gossip;
use crate::shell::Shell;

/// Runs one sending task for each live member until it is aborted itself.
pub async fn run_gossip(shell: Arc<Shell>, peers: Arc<Peers>, mut digest: watch::Receiver<Option<Digest>>) {
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
                tasks.spawn(gossip_with(Arc::clone(&shell), Arc::clone(&peers), address, digest.clone()))
            });
        }
        while tasks.try_join_next().is_some() {}
    }
}

/// Sends the newest digest to one member whenever it changes. Digests that are replaced while a send is in progress
/// are skipped.
async fn gossip_with(
    shell: Arc<Shell>,
    peers: Arc<Peers>,
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
            Some(Ok(digest)) => shell.handle(Event::Digest(digest)),
            Some(Err(_)) => {}
            None => client = None,
        }
    }
}
