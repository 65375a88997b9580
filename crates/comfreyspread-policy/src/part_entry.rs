//! What a node knows of one prompt part, or of one request as a whole, and what follows from it.

use crate::crash_evidence;
use comfreyspread_schema::{ids, types};
use std::{cmp, time};

/// Weight of the crashes that convict a part.
const WEIGHT_TO_CONVICT: usize = 3 * crash_evidence::CRASH_WEIGHT;
/// Weight of the crashes that convict a part proved sound shortly before.
const WEIGHT_AFTER_PROOF: usize = 5 * crash_evidence::CRASH_WEIGHT;
/// Additional weight that convicts a request as a whole. A sound one may begin at three endpoints
/// that fail for another reason, as its attempts follow each other.
const ADDITIONAL_REQUEST_WEIGHT: usize = crash_evidence::CRASH_WEIGHT;
/// Age up to which a proof raises the number of crashes that convict.
const PROOF_WEIGHT_TIME: time::Duration = time::Duration::from_secs(30);
/// Different requests that have to wait at the crashes: one request alone is convicted as a whole.
const REQUESTS_TO_CONVICT: usize = 2;
/// Time from the last crash to the first request that is let pass again.
const CONVICTION_TIME: time::Duration = time::Duration::from_secs(120);
/// The same for a request as a whole, which crashes endpoints each time that it comes.
const REQUEST_CONVICTION_TIME: time::Duration = time::Duration::from_secs(600);
/// Time that a request let pass has to begin or to crash.
const TRIAL_TIME: time::Duration = time::Duration::from_secs(15);
/// Time after its last crash at which a part is forgotten.
pub const RETENTION: time::Duration = time::Duration::from_secs(900);
/// Proofs closer to the known one are not taken over: ages do not include the delay of messages,
/// so that a proof passed around would become ever younger.
const MIN_PROOF_ADVANCE: time::Duration = time::Duration::from_secs(1);
/// Time for which other nodes are told that a part is cleared.
const CLEARING_TIME: time::Duration = time::Duration::from_secs(10);
/// Crashes in one record.
const CRASHES_PER_RECORD: usize = 4;
/// Crashes in the record of a convicted part: they tell the receiver which ones it explains.
const CRASHES_PER_CONVICTION: usize = 16;

/// Position in the order of convictions: prompt parts before whole requests, then those never proved
/// sound, then those with most crashes.
pub type ConvictionOrder = (bool, bool, cmp::Reverse<usize>);
/// Position in the order in which other nodes hear of a part.
pub type NoticeOrder = (u8, time::Duration);

/// A prompt part, or a request as a whole.
#[derive(Clone, Debug, Default)]
pub struct PartEntry {
    /// Whether it stands for a request as a whole.
    pub whole: bool,
    /// Crashes that speak against it.
    pub evidence: crash_evidence::CrashEvidence,
    /// When it was last proved sound.
    pub proof: crash_evidence::PartProof,
    /// Whether it crashes endpoints.
    pub convicted: bool,
    /// Last clearing of a crash.
    cleared_at: Option<time::Instant>,
    trial_until: Option<time::Instant>,
}

impl PartEntry {
    /// Adds a crash; returns whether other nodes should hear of it at once.
    pub fn add(&mut self, seen: crash_evidence::SeenCrash, now: time::Instant) -> bool {
        if self.proof.outweighs(&seen) {
            // The sender does not know of the proof.
            self.cleared_at = Some(now);
            return false;
        }
        let is_new = self.evidence.add(seen);
        // One crash says little of a request that had been running.
        let is_running = seen.moment == types::CrashMoment::Running;
        is_new && (!is_running || self.evidence.crashes().nth(1).is_some())
    }

    /// Adds a proof; returns whether there were crashes that it may have cleared.
    pub fn prove(&mut self, proof: crash_evidence::PartProof, now: time::Instant) -> bool {
        self.proof = self.proof.merged(proof);
        if self.is_idle() {
            return false;
        }
        self.evidence.clear(&self.proof);
        self.cleared_at = Some(now);
        true
    }

    /// Returns what of another node's proof is clearly later than the known one.
    pub fn later_proof(&self, proof: crash_evidence::PartProof) -> crash_evidence::PartProof {
        let is_later = |known: Option<time::Instant>, at: &time::Instant| {
            known.is_none_or(|known| *at >= known + MIN_PROOF_ADVANCE)
        };
        crash_evidence::PartProof {
            began_at: proof.began_at.filter(|at| is_later(self.proof.began_at, at)),
            ran_at: proof.ran_at.filter(|at| is_later(self.proof.ran_at, at)),
        }
    }

    /// Forgets all but the proof.
    pub fn reset(&mut self) {
        *self = Self { whole: self.whole, proof: self.proof, ..Self::default() };
    }

    /// Lets one request pass if the conviction has lapsed.
    pub fn start_trial(&mut self, now: time::Instant) {
        if self.convicted {
            self.trial_until = Some(now + TRIAL_TIME);
        }
    }

    /// Returns whether requests with the part are rejected, on a node whose convictions last longer
    /// by `trial_delay`.
    pub fn holds(&self, trial_delay: time::Duration, now: time::Instant) -> bool {
        self.convicted
            && !self.is_idle()
            && (now < self.lapses_at(trial_delay, now)
                || self.trial_until.is_some_and(|trial_until| now < trial_until))
    }

    /// Returns when the conviction lapses; at once if no crash speaks against the part.
    pub fn lapses_at(&self, trial_delay: time::Duration, now: time::Instant) -> time::Instant {
        let time = if self.whole { REQUEST_CONVICTION_TIME } else { CONVICTION_TIME };
        self.evidence.last_crash().map_or(now, |last_crash| last_crash + time + trial_delay)
    }

    /// Whether no crash speaks against the part.
    pub fn is_idle(&self) -> bool {
        self.evidence.last_crash().is_none()
    }

    /// Whether no crash of late speaks against the part.
    pub fn is_expired(&self, now: time::Instant) -> bool {
        let last_crash = self.evidence.last_crash();
        last_crash.is_none_or(|at| now.saturating_duration_since(at) >= RETENTION)
    }

    /// Returns whether these crashes, which no other part explains, convict the part.
    pub fn is_convicted_by(
        &self,
        evidence: &crash_evidence::CrashEvidence,
        now: time::Instant,
    ) -> bool {
        let age = self.proof.began_at.map(|began_at| now.saturating_duration_since(began_at));
        let proven_lately = age.is_some_and(|age| age < PROOF_WEIGHT_TIME);
        let needed = if proven_lately { WEIGHT_AFTER_PROOF } else { WEIGHT_TO_CONVICT };
        if self.whole {
            return self.weight(evidence) >= needed + ADDITIONAL_REQUEST_WEIGHT;
        }
        self.weight(evidence) >= needed && evidence.request_count() >= REQUESTS_TO_CONVICT
    }

    /// Returns the position in the order of convictions; none if the crashes do not suffice.
    pub fn conviction_order(&self) -> Option<ConvictionOrder> {
        let weight = self.weight(&self.evidence);
        let order = (self.whole, self.proof.began_at.is_some(), cmp::Reverse(weight));
        (weight >= WEIGHT_TO_CONVICT).then_some(order)
    }

    /// Returns the position in the order in which other nodes hear of the part; none if they need
    /// not.
    pub fn notice_order(&self, now: time::Instant) -> Option<NoticeOrder> {
        let age = |at: time::Instant| now.saturating_duration_since(at);
        if let Some(last_crash) = self.evidence.last_crash().filter(|at| age(*at) < RETENTION) {
            let class = match (self.convicted, self.weight(&self.evidence)) {
                (true, _) => 0,
                (false, weight) if weight > crash_evidence::CRASH_WEIGHT => 1,
                (false, crash_evidence::CRASH_WEIGHT) => 2,
                (false, _) => 4,
            };
            return Some((class, age(last_crash)));
        }
        let cleared_at = self.cleared_at.filter(|at| age(*at) < CLEARING_TIME)?;
        Some((3, age(cleared_at)))
    }

    /// Returns the record for another node.
    pub fn record(&self, part: ids::PartHash, now: time::Instant) -> types::PartSuspect {
        let age = |at: Option<time::Instant>| at.map(|at| now.saturating_duration_since(at));
        let proof_age = age(self.proof.began_at);
        let limit = if self.convicted { CRASHES_PER_CONVICTION } else { CRASHES_PER_RECORD };
        types::PartSuspect {
            crashes: self.evidence.records(limit, now),
            part,
            proof_age: proof_age.unwrap_or_default(),
            proven: proof_age.is_some(),
            ran: age(self.proof.ran_at).map(|age| types::RunProof { age }),
            whole: self.whole,
        }
    }

    /// Returns the weight of crashes. A request that was never served may be the cause of several at
    /// one moment.
    fn weight(&self, evidence: &crash_evidence::CrashEvidence) -> usize {
        if self.whole && self.proof.ran_at.is_none() {
            evidence.weight()
        } else {
            evidence.independent_weight()
        }
    }
}
