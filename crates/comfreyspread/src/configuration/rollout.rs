//! Waits until a staged change is in force at every node that may be serving.
//!
//! The node that staged the change notifies every other node of the revision; each replies once the
//! revision is in force there. A node that does not confirm is notified again until the wait ends.

use crate::{
    configuration::distribution,
    membership::{known_nodes, peer},
    runtime::context,
    transport::http_client,
};
use comfreyspread_policy::change;
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use indexmap::{IndexMap, IndexSet};
use std::{net, sync, time};

/// Timeout of one notice, and of the wait for this node itself.
const NOTICE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Pause before a node that did not confirm is notified again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Period for re-evaluating which nodes may be serving.
const REEVALUATION_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Reply of one node to a revision notice.
#[derive(Clone, Debug)]
struct NodeReply {
    node: ids::Text,
    revision: ids::RevisionNumber,
    detail: ids::Text,
}

/// Notifies nodes of one staged change and collects their replies.
struct RolloutWait {
    context: sync::Arc<context::NodeContext>,
    replies: async_channel::Receiver<NodeReply>,
    reply_sender: async_channel::Sender<NodeReply>,
    notify_tasks: IndexMap<net::SocketAddr, async_executor::Task<()>>,
    latest_replies: IndexMap<ids::Text, NodeReply>,
    vm_list: Option<types::VmList>,
}

/// Waits up to `timeout` until every node that may be serving has confirmed the change.
pub async fn wait(
    context: &sync::Arc<context::NodeContext>,
    staged: change::ConfigurationChange<change::StagedState>,
    timeout: time::Duration,
) -> types::ChangeOutcome {
    let deadline = time::Instant::now() + timeout;
    let (reply_sender, replies) = async_channel::unbounded();
    let context = context.clone();
    let notify_tasks = IndexMap::new();
    let latest_replies = IndexMap::new();
    let vm_list = Box::pin(context.platform.list_vms()).await.ok();
    let wait =
        RolloutWait { context, replies, reply_sender, notify_tasks, latest_replies, vm_list };
    wait.run(staged, deadline).await
}

impl RolloutWait {
    async fn run(
        mut self,
        mut staged: change::ConfigurationChange<change::StagedState>,
        deadline: time::Instant,
    ) -> types::ChangeOutcome {
        let revision = staged.revision();
        let own_node = self.context.settings.node.clone();
        distribution::wait_for(&self.context, revision, NOTICE_TIMEOUT).await;
        loop {
            staged = staged.with_required_nodes(self.required_nodes(&own_node));
            staged.confirm(&own_node, self.context.tables.catalog().revision());
            for reply in self.latest_replies.values() {
                staged.confirm(&reply.node, reply.revision);
            }
            staged = match staged.accept() {
                change::AcceptanceStep::Accepted(accepted) => {
                    let confirmed = u32::try_from(accepted.confirmed()).unwrap_or(u32::MAX);
                    return types::ChangeOutcome::Accepted { confirmed, revision };
                }
                change::AcceptanceStep::Waiting(staged) => staged,
            };
            if time::Instant::now() >= deadline {
                return types::ChangeOutcome::Staged {
                    unconfirmed_nodes: self.unconfirmed(&staged),
                    revision,
                };
            }
            self.next_reply(deadline).await;
        }
    }

    /// Returns the names of all nodes that may be serving, and starts to notify new ones.
    fn required_nodes(&mut self, own_node: &ids::NodeId) -> IndexSet<ids::Text> {
        let nodes = known_nodes::list(&self.context, self.vm_list.as_ref());
        let nodes: Vec<_> = nodes.into_iter().filter(|node| node.may_serve).collect();
        for node in &nodes {
            if !self.notify_tasks.contains_key(&node.address) {
                let work = notify(self.context.clone(), node.clone(), self.reply_sender.clone());
                let task = self.context.spawner.spawn(work);
                self.notify_tasks.insert(node.address, task);
            }
        }
        nodes.into_iter().map(|node| node.node).chain([own_node.clone()]).collect()
    }

    async fn next_reply(&mut self, deadline: time::Instant) {
        let reevaluation = deadline.min(time::Instant::now() + REEVALUATION_PERIOD);
        let replied = async { self.replies.recv().await.ok() };
        let expired = async {
            async_io::Timer::at(reevaluation).await;
            None
        };
        if let Some(reply) = replied.or(expired).await {
            self.latest_replies.insert(reply.node.clone(), reply);
        }
    }

    fn unconfirmed(
        &self,
        staged: &change::ConfigurationChange<change::StagedState>,
    ) -> Vec<types::UnconfirmedNode> {
        let unconfirmed = staged.unconfirmed_nodes().map(|node| {
            let reply = self.latest_replies.get(node);
            let reason = reply.map_or_else(|| "no answer yet".into(), |reply| reply.detail.clone());
            let revision = reply.map_or(0, |reply| reply.revision);
            types::UnconfirmedNode { node: node.clone(), reason, revision }
        });
        unconfirmed.collect()
    }
}

/// Notifies one node of the revision in force until it confirms.
async fn notify(
    context: sync::Arc<context::NodeContext>,
    node: known_nodes::KnownNode,
    reply_sender: async_channel::Sender<NodeReply>,
) {
    loop {
        let reply = send_notice(&context, &node).await;
        let confirmed = reply.revision >= context.tables.catalog().revision();
        if reply_sender.send(reply).await.is_err() || confirmed {
            return;
        }
        async_io::Timer::after(RETRY_PAUSE).await;
    }
}

async fn send_notice(context: &context::NodeContext, node: &known_nodes::KnownNode) -> NodeReply {
    let notice = types::RevisionNotice {
        address: context.settings.advertise_address,
        header: context.peer_header(),
        wait: NOTICE_TIMEOUT / 2,
    };
    let deadline = time::Instant::now() + NOTICE_TIMEOUT;
    let connection = http_client::ConnectionUse::Pooled;
    let path = peer::REVISION_PATH;
    let reply: Result<types::RevisionReply, _> =
        peer::exchange(context, node.address, path, &notice, connection, deadline).await;
    let node = node.node.clone();
    match reply {
        Ok(reply) => {
            let revision = reply.header.revision;
            let detail = format!("has revision {revision}").into();
            NodeReply { node, revision, detail }
        }
        Err(failure) => NodeReply { node, revision: 0, detail: failure.detail().clone() },
    }
}
