//! One member: its instance, its address and its state as this node sees it.

use comfreyspread_schema::{ids, types};
use std::{net, time};

/// One run of a node's process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct MemberInstance {
    /// Name of the node.
    pub node: ids::NodeId,
    /// Start id of the process.
    pub start_id: ids::ProcessStartId,
}

impl MemberInstance {
    /// Returns the instance that a record describes.
    pub fn new(record: &types::MemberRecord) -> Self {
        Self { node: record.node.clone(), start_id: record.start_id }
    }

    /// Returns the instance with this identity.
    pub fn from_identity(identity: &types::MemberIdentity) -> Self {
        Self { node: identity.node.clone(), start_id: identity.start_id }
    }

    /// Returns the instance that sent a message.
    pub fn from_header(header: &types::PeerHeader) -> Self {
        Self { node: header.node.clone(), start_id: header.start_id }
    }

    /// Returns the identity for a message.
    pub fn identity(&self) -> types::MemberIdentity {
        types::MemberIdentity { node: self.node.clone(), start_id: self.start_id }
    }
}

/// Member to be probed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeTarget {
    /// Instance to be probed.
    pub instance: MemberInstance,
    /// Peer address.
    pub address: net::SocketAddr,
}

impl ProbeTarget {
    /// Returns the target that a record describes.
    pub fn new(record: &types::MemberRecord) -> Self {
        Self { instance: MemberInstance::new(record), address: record.address }
    }
}

/// Another node as this node sees it.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    pub(crate) record: types::MemberRecord,
    pub(crate) phase_since: time::Instant,
    pub(crate) last_heard: time::Instant,
    pub(crate) refuses_connections: bool,
    pub(crate) sends: u32,
}

impl MemberEntry {
    /// Creates the entry of a member learned of at `now`.
    pub fn new(record: types::MemberRecord, now: time::Instant) -> Self {
        Self { record, phase_since: now, last_heard: now, refuses_connections: false, sends: 0 }
    }

    /// Returns the record.
    pub fn record(&self) -> &types::MemberRecord {
        &self.record
    }

    /// Returns when the phase last changed.
    pub fn phase_since(&self) -> time::Instant {
        self.phase_since
    }

    /// Returns when the last message came directly from the member.
    pub fn last_heard(&self) -> time::Instant {
        self.last_heard
    }

    /// Whether the member's address refuses connections.
    pub fn refuses_connections(&self) -> bool {
        self.refuses_connections
    }

    /// Whether the member may be running: alive or suspect.
    pub fn is_live(&self) -> bool {
        is_live(self.record.phase)
    }

    /// Sets the phase and has the record sent to peers again.
    pub fn set_phase(&mut self, phase: types::MemberPhase, now: time::Instant) {
        self.record.phase = phase;
        self.phase_since = now;
        self.sends = 0;
    }
}

/// Whether a member in this phase may be running.
pub fn is_live(phase: types::MemberPhase) -> bool {
    matches!(phase, types::MemberPhase::Alive | types::MemberPhase::Suspect)
}
