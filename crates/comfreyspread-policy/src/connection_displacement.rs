//! Which connection of a caller is closed for a new one when no more may be open.
//!
//! Answers clients that take all connections and do not use them: with heads that do not end, with
//! empty lines, or with nothing. A connection whose request is in progress is never closed, and one
//! that is kept between two requests only for want of any that sends part of a head and does not go on.
//!
//! ```
//! use comfreyspread_policy::connection_displacement::{ConnectionPhase, WaitingConnection, choose};
//! use std::time::{Duration, Instant};
//!
//! let since = Instant::now();
//! let kept = WaitingConnection { phase: ConnectionPhase::Kept, since };
//! let stuck = WaitingConnection { phase: ConnectionPhase::Head, since };
//! let now = since + Duration::from_secs(2);
//! assert_eq!(choose([("a", kept), ("b", stuck)], now), Some("b"));
//! ```

use std::time;

/// Time within which a caller sends the head of a request that it has begun, or that of a new connection
/// its first.
const HEAD_TIME: time::Duration = time::Duration::from_secs(1);
/// Time for which a connection is kept in any case after a request.
const KEPT_TIME: time::Duration = time::Duration::from_secs(1);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// For its first request; part of it may have arrived.
    New,
    /// For the rest of the head of a later request, or of empty lines before it.
    Head,
    /// For the next request, of which nothing has arrived.
    Kept,
    /// For nothing: a request is in progress.
    Active,
}

/// A connection and how long it has been in its phase.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingConnection {
    /// The phase.
    pub phase: ConnectionPhase,
    /// Time at which the phase began.
    pub since: time::Instant,
}

/// Rank of a connection that may be closed; the lowest is closed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum DisplacementRank {
    /// It has begun, or is new, and does not go on.
    Stuck,
    /// It has not been used for a while.
    Unused,
    /// It is new, and its first request may be on its way.
    Recent,
}

/// Returns the connection to close for a new one, of those that have waited longest in the lowest rank;
/// none if all others have to stay.
pub fn choose<Id, Connections>(connections: Connections, now: time::Instant) -> Option<Id>
where
    Connections: IntoIterator<Item = (Id, WaitingConnection)>,
{
    let ranked = connections.into_iter().filter_map(|(id, connection)| {
        let rank = rank(&connection, now)?;
        Some((id, rank, connection.since))
    });
    ranked.min_by_key(|(_, rank, since)| (*rank, *since)).map(|(id, ..)| id)
}

fn rank(connection: &WaitingConnection, now: time::Instant) -> Option<DisplacementRank> {
    let waited = now.saturating_duration_since(connection.since);
    match connection.phase {
        ConnectionPhase::New | ConnectionPhase::Head if waited >= HEAD_TIME => {
            Some(DisplacementRank::Stuck)
        }
        ConnectionPhase::Kept if waited >= KEPT_TIME => Some(DisplacementRank::Unused),
        ConnectionPhase::New => Some(DisplacementRank::Recent),
        ConnectionPhase::Head | ConnectionPhase::Kept | ConnectionPhase::Active => None,
    }
}
