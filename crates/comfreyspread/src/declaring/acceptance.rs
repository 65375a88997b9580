//! Waiting until a staged change is in force at every node that may be serving.
//!
//! The node that staged the change tells every other node of the revision; each answers once it
//! has brought it into force. A node that cannot be reached is told again until the wait is over.

use crate::{
    declaring::configuration,
    membership::{contact, peer},
    runtime::context,
    transport::http_client,
};
use comfreyspread_policy::change;
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use indexmap::{IndexMap, IndexSet};
use std::{net, sync, time};

/// Longest wait for one answer.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Pause before a node that did not confirm is told again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Time after which the list of nodes that may be serving is read again.
const REVIEW_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Answer of one node.
#[derive(Clone, Debug)]
struct NodeAnswer {
    node: ids::Text,
    revision: ids::RevisionNumber,
    detail: ids::Text,
}

/// Collects the answers to one staged change.
struct AcceptanceRound {
    context: sync::Arc<context::NodeContext>,
    answers: async_channel::Receiver<NodeAnswer>,
    answerer: async_channel::Sender<NodeAnswer>,
    asked: IndexMap<net::SocketAddr, async_executor::Task<()>>,
    latest: IndexMap<ids::Text, NodeAnswer>,
    listed: Option<types::VmList>,
}

/// Waits until every node that may be serving has confirmed, at most `limit`.
pub async fn wait(
    context: &sync::Arc<context::NodeContext>,
    staged: change::ConfigurationChange<change::StagedState>,
    limit: time::Duration,
) -> types::ChangeOutcome {
    let deadline = time::Instant::now() + limit;
    let (answerer, answers) = async_channel::unbounded();
    let context = context.clone();
    let asked = IndexMap::new();
    let latest = IndexMap::new();
    let listed = Box::pin(context.platform.list_vms()).await.ok();
    let round = AcceptanceRound { context, answers, answerer, asked, latest, listed };
    round.run(staged, deadline).await
}

impl AcceptanceRound {
    async fn run(
        mut self,
        mut staged: change::ConfigurationChange<change::StagedState>,
        deadline: time::Instant,
    ) -> types::ChangeOutcome {
        let revision = staged.revision();
        let own = self.context.settings.node.clone();
        configuration::wait_for(&self.context, revision, ANSWER_LIMIT).await;
        loop {
            staged = staged.with_required_nodes(self.expected(&own));
            staged.confirm(&own, self.context.tables.catalog().revision());
            for answer in self.latest.values() {
                staged.confirm(&answer.node, answer.revision);
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
                    unconfirmed_nodes: self.missing(&staged),
                    revision,
                };
            }
            self.next_answer(deadline).await;
        }
    }

    /// Returns the names of all nodes that may be serving, and tells those not told yet.
    fn expected(&mut self, own: &ids::NodeId) -> IndexSet<ids::Text> {
        let contacts = contact::all(&self.context, self.listed.as_ref());
        let contacts: Vec<_> = contacts.into_iter().filter(|contact| contact.may_serve).collect();
        for contact in &contacts {
            if !self.asked.contains_key(&contact.address) {
                let teller = tell(self.context.clone(), contact.clone(), self.answerer.clone());
                let task = self.context.spawner.spawn(teller);
                self.asked.insert(contact.address, task);
            }
        }
        contacts.into_iter().map(|contact| contact.node).chain([own.clone()]).collect()
    }

    async fn next_answer(&mut self, deadline: time::Instant) {
        let review = deadline.min(time::Instant::now() + REVIEW_PERIOD);
        let answered = async { self.answers.recv().await.ok() };
        let late = async {
            async_io::Timer::at(review).await;
            None
        };
        if let Some(answer) = answered.or(late).await {
            self.latest.insert(answer.node.clone(), answer);
        }
    }

    fn missing(
        &self,
        staged: &change::ConfigurationChange<change::StagedState>,
    ) -> Vec<types::UnconfirmedNode> {
        let missing = staged.unconfirmed_nodes().map(|node| {
            let answer = self.latest.get(node);
            let reason = answer.map_or_else(|| "no answer yet".into(), |one| one.detail.clone());
            let revision = answer.map_or(0, |answer| answer.revision);
            types::UnconfirmedNode { node: node.clone(), reason, revision }
        });
        missing.collect()
    }
}

/// Tells one node of the revision in force until it confirms.
async fn tell(
    context: sync::Arc<context::NodeContext>,
    contact: contact::NodeContact,
    answerer: async_channel::Sender<NodeAnswer>,
) {
    loop {
        let answer = tell_once(&context, &contact).await;
        let confirmed = answer.revision >= context.tables.catalog().revision();
        if answerer.send(answer).await.is_err() || confirmed {
            return;
        }
        async_io::Timer::after(RETRY_PAUSE).await;
    }
}

async fn tell_once(context: &context::NodeContext, contact: &contact::NodeContact) -> NodeAnswer {
    let notice = types::RevisionNotice {
        address: context.settings.advertise_address,
        header: context.peer_header(),
        wait: ANSWER_LIMIT / 2,
    };
    let deadline = time::Instant::now() + ANSWER_LIMIT;
    let connection = http_client::ConnectionUse::Pooled;
    let path = peer::REVISION_PATH;
    let reply: Result<types::RevisionReply, _> =
        peer::exchange(context, contact.address, path, &notice, connection, deadline).await;
    let node = contact.node.clone();
    match reply {
        Ok(reply) => {
            let revision = reply.header.revision;
            let detail = format!("has revision {revision}").into();
            NodeAnswer { node, revision, detail }
        }
        Err(failure) => NodeAnswer { node, revision: 0, detail: failure.detail().clone() },
    }
}
