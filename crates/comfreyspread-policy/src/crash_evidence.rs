//! Crashes that speak against one prompt part, or against one request as a whole.
//!
//! A crash counts once, however many requests and nodes saw it. It counts less if the request had
//! been running for a while. Of crashes in quick succession only one is independent: what stops many
//! endpoints at once is no request. Merging is a union that keeps the earliest time of each crash, so
//! neither order nor repetition nor the delay of messages matters.

use comfreyspread_schema::{ids, types};
use std::time;

/// Crashes closer together than this may have one common cause.
const COMMON_CAUSE_SPAN: time::Duration = time::Duration::from_millis(300);
/// Crashes kept of one part.
const MAX_CRASHES: usize = 64;
/// Weight of a crash as a request began to run.
pub const CRASH_WEIGHT: usize = 5;
/// Weight of a crash while a request had been running for a while.
const RUNNING_WEIGHT: usize = 4;

/// A crash while a request ran, or waited for the first event of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenCrash {
    /// The crash.
    pub crash: ids::CrashHash,
    /// The request that waited; of several, the one with the lowest hash.
    pub request: ids::RequestHash,
    /// How far the request was; of several, the moment that says most against it.
    pub moment: types::CrashMoment,
    /// Time of the crash.
    pub crashed_at: time::Instant,
}

impl SeenCrash {
    fn weight(&self) -> usize {
        match self.moment {
            types::CrashMoment::Begun | types::CrashMoment::Waiting => CRASH_WEIGHT,
            types::CrashMoment::Running => RUNNING_WEIGHT,
        }
    }
}

/// When a part was last proved sound.
#[derive(Clone, Copy, Debug, Default)]
pub struct PartProof {
    /// First event of a request with the part.
    pub began_at: Option<time::Instant>,
    /// Event of a request with the part that had been running for a while, or its complete response.
    pub ran_at: Option<time::Instant>,
}

impl PartProof {
    /// Returns the proof of a request that runs.
    pub fn with_run(now: time::Instant) -> Self {
        Self { began_at: Some(now), ran_at: Some(now) }
    }

    /// Returns the proof of a request that has begun.
    pub fn with_begin(now: time::Instant) -> Self {
        Self { began_at: Some(now), ran_at: None }
    }

    /// Returns the later proof of each kind.
    pub fn merged(self, other: Self) -> Self {
        Self { began_at: self.began_at.max(other.began_at), ran_at: self.ran_at.max(other.ran_at) }
    }

    /// Returns whether the proof came after a crash and shows that the part is not its cause. One
    /// that lets endpoints begin to answer may still crash them right after.
    pub fn outweighs(&self, seen: &SeenCrash) -> bool {
        let proven_at = match seen.moment {
            types::CrashMoment::Waiting => self.began_at,
            types::CrashMoment::Begun | types::CrashMoment::Running => self.ran_at,
        };
        proven_at.is_some_and(|proven_at| proven_at >= seen.crashed_at)
    }
}

/// The crashes that speak against one part, in order of time.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: Vec<SeenCrash>,
}

impl CrashEvidence {
    /// Adds a crash; returns whether it was not known and is kept.
    pub fn add(&mut self, seen: SeenCrash) -> bool {
        let known = self.crashes.iter_mut().find(|known| known.crash == seen.crash);
        let is_new = known.is_none();
        match known {
            Some(known) => {
                known.request = known.request.min(seen.request);
                known.moment = known.moment.max(seen.moment);
                known.crashed_at = known.crashed_at.min(seen.crashed_at);
            }
            None => self.crashes.push(seen),
        }
        self.crashes.sort_by_key(|known| (known.crashed_at, known.crash));
        let dropped = (self.crashes.len() > MAX_CRASHES).then(|| self.crashes.remove(0));
        is_new && dropped.is_none_or(|dropped| dropped.crash != seen.crash)
    }

    /// Drops the crashes that `proof` outweighs.
    pub fn clear(&mut self, proof: &PartProof) {
        self.crashes.retain(|seen| !proof.outweighs(seen));
    }

    /// Returns the time of the last crash.
    pub fn last_crash(&self) -> Option<time::Instant> {
        self.crashes.last().map(|seen| seen.crashed_at)
    }

    /// Returns the crashes that `is_explained` does not attribute to another part.
    pub fn unexplained<IsExplained>(&self, is_explained: IsExplained) -> Self
    where
        IsExplained: Fn(ids::CrashHash) -> bool,
    {
        let crashes = self.crashes.iter().filter(|seen| !is_explained(seen.crash));
        Self { crashes: crashes.copied().collect() }
    }

    /// Returns the crashes.
    pub fn crashes(&self) -> impl Iterator<Item = &SeenCrash> {
        self.crashes.iter()
    }

    /// Returns the weight of the crashes.
    pub fn weight(&self) -> usize {
        self.crashes.iter().map(SeenCrash::weight).sum()
    }

    /// Returns the weight of the crashes that have no common cause in time.
    pub fn independent_weight(&self) -> usize {
        self.independent().map(SeenCrash::weight).sum()
    }

    /// Returns the number of different requests that waited.
    pub fn request_count(&self) -> usize {
        let mut requests: Vec<_> = self.crashes.iter().map(|seen| seen.request).collect();
        requests.sort_unstable();
        requests.dedup();
        requests.len()
    }

    /// Returns up to `limit` crashes for another node, the latest independent ones first.
    pub fn records(&self, limit: usize, now: time::Instant) -> Vec<types::PartCrash> {
        let mut chosen: Vec<SeenCrash> = self.independent().take(limit).copied().collect();
        for seen in self.crashes.iter().rev() {
            if chosen.len() < limit && !chosen.contains(seen) {
                chosen.push(*seen);
            }
        }
        let record = |seen: SeenCrash| types::PartCrash {
            age: now.saturating_duration_since(seen.crashed_at),
            crash: seen.crash,
            request: seen.request,
            moment: seen.moment,
        };
        chosen.into_iter().map(record).collect()
    }

    /// Returns the latest crash and those before it that are far enough apart.
    fn independent(&self) -> impl Iterator<Item = &SeenCrash> {
        let mut next: Option<time::Instant> = None;
        self.crashes.iter().rev().filter(move |seen| {
            let apart =
                next.is_none_or(|next| next.duration_since(seen.crashed_at) >= COMMON_CAUSE_SPAN);
            if apart {
                next = Some(seen.crashed_at);
            }
            apart
        })
    }
}
