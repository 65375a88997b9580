//! Bringing the configuration into force at a node.
//!
//! A node keeps the highest revision it has seen: a document of the same or a lower revision
//! changes nothing, whether it comes from a stale copy of the store or from a peer. A few nodes of
//! each zone poll the store; every message between nodes carries its sender's revision, and
//! whoever is behind fetches the document from a peer. So a node can start while the store is down
//! if any peer is up, and the load on the store does not grow with the number of nodes.

use crate::{
    configuration::head_row,
    membership::{known_nodes, peer},
    runtime::context,
    transport::{failure, http_client},
};
use comfreyspread_policy::{catalog, delta, poller};
use comfreyspread_schema::{ids, types};
use rand::seq::SliceRandom as _;
use std::{net, sync, time};

/// Longest wait for a document from a peer.
const FETCH_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Most peers asked for a newer document before the store is asked.
const PEERS_ASKED: usize = 3;
/// Most peers asked at the start of a node.
const PEERS_ASKED_AT_START: usize = 8;

/// A revision above the one in force, and who has it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct NewerRevision {
    revision: ids::RevisionNumber,
    address: Option<net::SocketAddr>,
}

/// News of revisions above the one in force at a node.
#[derive(Debug)]
pub struct RevisionNotifier {
    newer: async_channel::Sender<NewerRevision>,
    news: async_channel::Receiver<NewerRevision>,
}

impl RevisionNotifier {
    /// Creates a watch without news.
    pub fn new() -> Self {
        let (newer, news) = async_channel::bounded(1);
        Self { newer, news }
    }
}

impl Default for RevisionNotifier {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits until a configuration is in force at a node that starts.
///
/// The store and the peers are asked together and the highest answer wins, so that a stale copy of
/// the store does not bring an older revision into force while a peer knows better.
pub async fn start(context: &sync::Arc<context::NodeContext>) {
    loop {
        let store = async {
            if let Err(failure) = read_store(context).await {
                log::warn!("configuration: store not read. error={failure}");
            }
        };
        futures_lite::future::zip(store, ask_peers(context)).await;
        if context.tables.catalog().revision() > 0 {
            return;
        }
        wait_for_change(context, context.settings.poll).await;
    }
}

/// Polls the store until the process ends, while it is this node's turn.
pub async fn poll(context: sync::Arc<context::NodeContext>) {
    let mut answering = true;
    loop {
        async_io::Timer::after(context.settings.poll).await;
        if !polls_store(&context) {
            continue;
        }
        let read = read_store(&context).await;
        match &read {
            Err(failure) if answering => {
                log::warn!("configuration: store not read. error={failure}");
            }
            Ok(()) if !answering => log::info!("configuration: store answers again"),
            _ => {}
        }
        answering = read.is_ok();
    }
}

/// Fetches each newer revision that a peer tells of, until the process ends.
pub async fn follow(context: sync::Arc<context::NodeContext>) {
    while let Ok(newer) = context.watch.news.recv().await {
        if newer.revision <= context.tables.catalog().revision() {
            continue;
        }
        if fetch_newer(&context, newer).await {
            continue;
        }
        if let Err(failure) = read_store(&context).await {
            log::warn!("configuration: no peer and no store has it. error={failure}");
        }
    }
}

/// Notes that a revision exists, and where it can be had.
pub fn note_revision(
    context: &context::NodeContext,
    revision: ids::RevisionNumber,
    address: Option<net::SocketAddr>,
) {
    if revision > context.tables.catalog().revision() {
        context.watch.newer.force_send(NewerRevision { revision, address }).ok();
    }
}

/// Brings a document into force if its revision is higher than the one in force.
pub fn adopt(context: &context::NodeContext, document: types::ConfigurationDocument) {
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

/// Waits until `revision` or a higher one is in force, or `limit` has passed.
pub async fn wait_for(
    context: &context::NodeContext,
    revision: ids::RevisionNumber,
    limit: time::Duration,
) {
    let reached = async {
        while context.tables.catalog().revision() < revision {
            let listener = context.tables.changed.listen();
            if context.tables.catalog().revision() < revision {
                listener.await;
            }
        }
    };
    http_client::before(time::Instant::now() + limit, reached).await;
}

/// Answers a peer that asks for the configuration: if the peer is behind, with the steps from its
/// revision or else the document.
pub fn reply(
    context: &context::NodeContext,
    request: &types::ConfigurationRequest,
) -> types::ConfigurationReply {
    let catalog = context.tables.catalog();
    let header = context.peer_header();
    if request.header.revision >= catalog.revision() {
        return types::ConfigurationReply { deltas: Vec::new(), document: None, header };
    }
    if let Some(steps) = catalog.deltas_since(request.header.revision) {
        let deltas = steps.iter().map(|step| (**step).clone()).collect();
        return types::ConfigurationReply { deltas, document: None, header };
    }
    let document = catalog.document().cloned();
    types::ConfigurationReply { deltas: Vec::new(), document, header }
}

/// Answers a peer that tells of a revision, once it is in force here or the wait has passed.
pub async fn confirm(
    context: &context::NodeContext,
    notice: &types::RevisionNotice,
) -> types::RevisionReply {
    let revision = notice.header.revision;
    note_revision(context, revision, Some(notice.address));
    wait_for(context, revision, notice.wait.min(FETCH_LIMIT)).await;
    types::RevisionReply { header: context.peer_header() }
}

/// Reads the store and brings what it holds into force if it is newer.
///
/// # Errors
///
/// Fails if the platform does not answer in time or holds something that is not valid.
pub async fn read_store(context: &context::NodeContext) -> Result<(), failure::CallFailure> {
    let known = context.tables.catalog().revision();
    if let Some(document) = head_row::read_newer(&context.platform, known).await? {
        adopt(context, document);
    }
    Ok(())
}

/// Asks one peer for its configuration and brings it into force if it is newer.
///
/// # Errors
///
/// Fails if the peer does not answer in time.
async fn fetch(
    context: &context::NodeContext,
    address: net::SocketAddr,
) -> Result<(), failure::CallFailure> {
    let request = types::ConfigurationRequest { header: context.peer_header() };
    let deadline = time::Instant::now() + FETCH_LIMIT;
    let connection = http_client::ConnectionUse::Shared;
    let path = peer::CONFIGURATION_PATH;
    let reply: types::ConfigurationReply =
        peer::exchange(context, address, path, &request, connection, deadline).await?;
    if let Some(document) = reply.document {
        adopt(context, document);
    }
    for step in &reply.deltas {
        adopt_step(context, step);
    }
    Ok(())
}

/// Brings a step into force if it starts at the revision in force.
fn adopt_step(context: &context::NodeContext, step: &types::ConfigurationDelta) {
    let catalog = context.tables.catalog();
    if let Some(document) = catalog.document().and_then(|before| delta::apply(before, step)) {
        adopt(context, document);
    }
}

async fn fetch_newer(context: &context::NodeContext, newer: NewerRevision) -> bool {
    let mut addresses: Vec<_> = newer.address.into_iter().collect();
    addresses.extend(some_peers(context, PEERS_ASKED));
    for address in addresses {
        if let Err(failure) = fetch(context, address).await {
            log::debug!("configuration: peer not reached. error={failure}");
        }
        if context.tables.catalog().revision() >= newer.revision {
            return true;
        }
    }
    false
}

async fn ask_peers(context: &sync::Arc<context::NodeContext>) {
    let peers = some_peers(context, PEERS_ASKED_AT_START).into_iter();
    let asked: Vec<_> = peers
        .map(|address| {
            let context = context.clone();
            context.clone().spawner.spawn(async move {
                if let Err(failure) = fetch(&context, address).await {
                    log::debug!("configuration: peer not reached. error={failure}");
                }
            })
        })
        .collect();
    for task in asked {
        task.await;
    }
}

fn some_peers(context: &context::NodeContext, count: usize) -> Vec<net::SocketAddr> {
    let mut addresses = known_nodes::serving_addresses(context);
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(count);
    addresses
}

async fn wait_for_change(context: &context::NodeContext, limit: time::Duration) {
    let listener = context.tables.changed.listen();
    http_client::before(time::Instant::now() + limit, listener).await;
}

fn polls_store(context: &context::NodeContext) -> bool {
    let settings = &context.settings;
    let neighbours = known_nodes::zone_peers(context);
    poller::polls_store(&settings.node, &neighbours)
}
