//! Distributes the configuration to the nodes.
//!
//! A node keeps the highest revision it has seen: a document of the same or a lower revision is
//! ignored, whether it comes from a stale replica of the store or from a peer. A few nodes of each
//! zone poll the store; every message between nodes carries its sender's revision, and a node that
//! is behind fetches the document from a peer. So a node can start while the store is down if any
//! peer is up, and the load on the store does not grow with the number of nodes.

use crate::{
    configuration::head_row,
    membership::{known_nodes, peer},
    runtime::context,
    transport::{failure, http_client},
};
use comfreyspread_policy::{catalog, change, delta, poller};
use comfreyspread_schema::{ids, types};
use rand::seq::SliceRandom as _;
use std::{net, sync, time};

/// Timeout of a configuration request to a peer.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Maximum number of random peers to fetch a newer document from before the store is read.
const MAX_FETCH_PEERS: usize = 3;
/// Maximum number of peers to fetch from at the start of a node.
const MAX_STARTUP_PEERS: usize = 8;

/// A revision above the one in force, and the address of a node that has it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct NewerRevision {
    revision: ids::RevisionNumber,
    address: Option<net::SocketAddr>,
}

/// Channel for revisions above the one in force at a node; it keeps the latest one.
#[derive(Debug)]
pub struct RevisionNotifier {
    sender: async_channel::Sender<NewerRevision>,
    receiver: async_channel::Receiver<NewerRevision>,
}

impl RevisionNotifier {
    /// Creates an empty channel.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Default for RevisionNotifier {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits until a configuration is in force at a node that starts.
///
/// The store and the peers are read concurrently and the highest revision wins, so that a stale
/// replica of the store does not bring an older revision into force while a peer has a newer one.
pub async fn start(context: &sync::Arc<context::NodeContext>) {
    loop {
        let store = async {
            if let Err(failure) = read_store(context).await {
                log::warn!("configuration: cannot read the store. error={failure}");
            }
        };
        futures_lite::future::zip(store, fetch_from_peers(context)).await;
        if context.tables.catalog().revision() > 0 {
            return;
        }
        wait_for_change(context, context.settings.poll_interval).await;
    }
}

/// Polls the store until the process ends, whenever this node is one of its zone's pollers.
pub async fn poll(context: sync::Arc<context::NodeContext>) {
    let mut store_reachable = true;
    loop {
        async_io::Timer::after(context.settings.poll_interval).await;
        if !polls_store(&context) {
            continue;
        }
        let read = read_store(&context).await;
        match &read {
            Err(failure) if store_reachable => {
                log::warn!("configuration: cannot read the store. error={failure}");
            }
            Ok(()) if !store_reachable => log::info!("configuration: store responds again"),
            _ => {}
        }
        store_reachable = read.is_ok();
    }
}

/// Fetches each newer revision that a peer reports, until the process ends.
pub async fn run_fetcher(context: sync::Arc<context::NodeContext>) {
    while let Ok(newer) = context.configuration_watch.receiver.recv().await {
        if newer.revision <= context.tables.catalog().revision() {
            continue;
        }
        if fetch_newer(&context, newer).await {
            continue;
        }
        if let Err(failure) = read_store(&context).await {
            log::warn!(
                "configuration: newer revision not available from peers or store. error={failure}"
            );
        }
    }
}

/// Notifies the fetcher of a revision, if it is above the one in force.
pub fn notify_revision(
    context: &context::NodeContext,
    revision: ids::RevisionNumber,
    address: Option<net::SocketAddr>,
) {
    if revision > context.tables.catalog().revision() {
        context.configuration_watch.sender.force_send(NewerRevision { revision, address }).ok();
    }
}

/// Brings a document into force if its revision is higher than the one in force.
pub fn apply(context: &context::NodeContext, document: types::ConfigurationDocument) {
    let mut current = context.tables.catalog.lock();
    if !current.is_superseded_by(&document) {
        return;
    }
    log::info!(revision = document.revision, change = document.change_id.as_ref();
        "configuration: in force");
    let next = catalog::ConfigurationCatalog::new(document).with_deltas_from(&current);
    *current = sync::Arc::new(next);
    drop(current);
    context.tables.changed.notify(usize::MAX);
}

/// Waits until `revision` or a higher one is in force, or `timeout` has passed.
pub async fn wait_for(
    context: &context::NodeContext,
    revision: ids::RevisionNumber,
    timeout: time::Duration,
) {
    let reached = async {
        while context.tables.catalog().revision() < revision {
            let listener = context.tables.changed.listen();
            if context.tables.catalog().revision() < revision {
                listener.await;
            }
        }
    };
    http_client::with_deadline(time::Instant::now() + timeout, reached).await;
}

/// Serves a configuration request: if the peer is behind, with the deltas from its revision or, if
/// they are not available, the document.
pub fn serve(
    context: &context::NodeContext,
    request: &types::ConfigurationRequest,
) -> types::ConfigurationReply {
    let catalog = context.tables.catalog();
    let header = context.peer_header();
    if request.header.revision >= catalog.revision() {
        return types::ConfigurationReply { deltas: Vec::new(), document: None, header };
    }
    if let Some(deltas) = catalog.deltas_since(request.header.revision) {
        let deltas = deltas.iter().map(|delta| (**delta).clone()).collect();
        return types::ConfigurationReply { deltas, document: None, header };
    }
    let document = catalog.document().cloned();
    types::ConfigurationReply { deltas: Vec::new(), document, header }
}

/// Serves a revision notice, once the revision is in force here or the wait has timed out.
pub async fn confirm(
    context: &context::NodeContext,
    notice: &types::RevisionNotice,
) -> types::RevisionReply {
    let revision = notice.header.revision;
    notify_revision(context, revision, Some(notice.address));
    wait_for(context, revision, notice.wait.min(FETCH_TIMEOUT)).await;
    types::RevisionReply { header: context.peer_header() }
}

/// Reads the store and brings its configuration into force if it is newer. Writes the one in force
/// again if the store's is older.
///
/// # Errors
///
/// Fails if the platform does not answer in time or holds invalid data.
pub async fn read_store(context: &context::NodeContext) -> Result<(), failure::CallFailure> {
    let current = context.tables.catalog().revision();
    match head_row::compare(&context.platform, current).await? {
        head_row::HeadComparison::Newer(document) => apply(context, *document),
        head_row::HeadComparison::Known => {}
        head_row::HeadComparison::Older => write_again(context).await?,
    }
    Ok(())
}

/// Writes the configuration in force into a store that has lost it.
async fn write_again(context: &context::NodeContext) -> Result<(), failure::CallFailure> {
    let head = head_row::read(&context.platform).await?;
    let catalog = context.tables.catalog();
    let planned = catalog.document().and_then(|document| change::write_again(&head, document));
    let Some(planned) = planned else { return Ok(()) };
    if head_row::write(context, &planned).await? {
        log::warn!(stored = head.revision(), revision = planned.revision();
            "configuration: the store had lost the one in force, written again");
    }
    Ok(())
}

/// Requests the configuration of one peer and brings it into force if it is newer.
///
/// # Errors
///
/// Fails if the peer does not answer in time.
async fn fetch(
    context: &context::NodeContext,
    address: net::SocketAddr,
) -> Result<(), failure::CallFailure> {
    let request = types::ConfigurationRequest { header: context.peer_header() };
    let deadline = time::Instant::now() + FETCH_TIMEOUT;
    let connection = http_client::ConnectionUse::Pooled;
    let path = peer::CONFIGURATION_PATH;
    let reply: types::ConfigurationReply =
        peer::exchange(context, address, path, &request, connection, deadline).await?;
    if let Some(document) = reply.document {
        apply(context, document);
    }
    for delta in &reply.deltas {
        apply_delta(context, delta);
    }
    Ok(())
}

/// Applies a delta if its base is the revision in force.
fn apply_delta(context: &context::NodeContext, delta: &types::ConfigurationDelta) {
    let catalog = context.tables.catalog();
    if let Some(document) = catalog.document().and_then(|before| delta::apply(before, delta)) {
        apply(context, document);
    }
}

async fn fetch_newer(context: &context::NodeContext, newer: NewerRevision) -> bool {
    let mut addresses: Vec<_> = newer.address.into_iter().collect();
    addresses.extend(random_peers(context, MAX_FETCH_PEERS));
    for address in addresses {
        if let Err(failure) = fetch(context, address).await {
            log::debug!("configuration: fetch from peer failed. error={failure}");
        }
        if context.tables.catalog().revision() >= newer.revision {
            return true;
        }
    }
    false
}

async fn fetch_from_peers(context: &sync::Arc<context::NodeContext>) {
    let peers = random_peers(context, MAX_STARTUP_PEERS).into_iter();
    let tasks: Vec<_> = peers
        .map(|address| {
            let context = context.clone();
            context.clone().spawner.spawn(async move {
                if let Err(failure) = fetch(&context, address).await {
                    log::debug!("configuration: fetch from peer failed. error={failure}");
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
}

fn random_peers(context: &context::NodeContext, count: usize) -> Vec<net::SocketAddr> {
    let mut addresses = known_nodes::serving_addresses(context);
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(count);
    addresses
}

async fn wait_for_change(context: &context::NodeContext, timeout: time::Duration) {
    let listener = context.tables.changed.listen();
    http_client::with_deadline(time::Instant::now() + timeout, listener).await;
}

fn polls_store(context: &context::NodeContext) -> bool {
    let settings = &context.settings;
    let zone_peers = known_nodes::zone_peers(context);
    poller::polls_store(&settings.node, &zone_peers)
}
