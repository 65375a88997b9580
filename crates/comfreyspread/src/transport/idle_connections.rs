//! Connections on which no exchange is in progress, by address.
//!
//! Nothing watches an idle connection, so one whose peer has gone stays open until it is dropped.
//! Expired ones are dropped for all addresses, as some are never called again.

use super::client_connection;
use crate::runtime::lock_rank;
use indexmap::IndexMap;
use std::{mem, net, time};

/// Idle connections kept to one address.
const CONNECTIONS_PER_ADDRESS: usize = 64;
/// Number of times that expired connections are dropped within the timeout.
const SWEEPS_PER_TIMEOUT: u32 = 4;

/// Idle connections to all addresses.
#[derive(Debug)]
pub struct IdleConnections {
    timeout: time::Duration,
    table: lock_rank::RankedLock<lock_rank::ConnectionRank, IdleTable>,
}

#[derive(Debug)]
struct IdleTable {
    connections: IndexMap<net::SocketAddr, Vec<client_connection::ClientConnection>>,
    swept_at: time::Instant,
}

impl IdleConnections {
    /// Creates an empty table whose connections are dropped once idle for `timeout`.
    pub fn new(timeout: time::Duration) -> Self {
        let table = IdleTable { connections: IndexMap::new(), swept_at: time::Instant::now() };
        Self { timeout, table: lock_rank::RankedLock::new(table) }
    }

    /// Removes and returns a connection to an address that has not expired.
    pub fn acquire(&self, address: net::SocketAddr) -> Option<client_connection::ClientConnection> {
        let mut table = self.table.lock();
        let connections = table.connections.get_mut(&address)?;
        let last = connections.pop()?;
        if !is_expired(&last, self.timeout) {
            return Some(last);
        }
        // All others have been idle for longer.
        let expired = mem::take(connections);
        drop(table);
        drop(expired);
        None
    }

    /// Adds a connection whose exchange is complete.
    pub fn release(&self, mut connection: client_connection::ClientConnection) {
        connection.mark_idle();
        let mut table = self.table.lock();
        let expired = table.sweep(self.timeout);
        let connections = table.connections.entry(connection.address()).or_default();
        if connections.len() < CONNECTIONS_PER_ADDRESS {
            connections.push(connection);
        }
        drop(table);
        // Closed without the lock.
        drop(expired);
    }
}

impl IdleTable {
    /// Removes and returns the expired connections, unless that was done shortly before.
    fn sweep(&mut self, timeout: time::Duration) -> Vec<client_connection::ClientConnection> {
        let mut expired = Vec::new();
        if self.swept_at.elapsed() < timeout / SWEEPS_PER_TIMEOUT {
            return expired;
        }
        self.swept_at = time::Instant::now();
        self.connections.retain(|_, connections| {
            let is_old = |connection: &mut client_connection::ClientConnection| {
                is_expired(connection, timeout)
            };
            expired.extend(connections.extract_if(.., is_old));
            !connections.is_empty()
        });
        expired
    }
}

fn is_expired(connection: &client_connection::ClientConnection, timeout: time::Duration) -> bool {
    connection.idle_since().elapsed() >= timeout
}
