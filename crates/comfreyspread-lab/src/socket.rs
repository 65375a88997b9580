//! Finding out which node opened a connection on this machine.
//!
//! Each endpoint and node has one address for all that call it, so a relay cannot tell callers
//! apart by address. The system can: it lists the sockets of each process. Reading that list is
//! slow, so one task reads it once for all connections that wait.

use crate::types;
use comfreyspread::worker;
use indexmap::{IndexMap, IndexSet};
use std::{fs, net, path};

const SOCKET_TABLE: &str = "/proc/net/tcp";
const PROCESS_FOLDER: &str = "/proc";
const INODE_COLUMNS_LATER: usize = 6;

/// Ports of a connection, as its opener sees them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct PortPair {
    local: u16,
    remote: u16,
}

/// A connection whose opener is wanted.
#[derive(Debug)]
struct PlaceQuery {
    ports: PortPair,
    answer: async_channel::Sender<Option<types::RelayPlace>>,
}

/// Finds the place of the node that opened a connection.
#[derive(Debug)]
pub struct SocketFinder {
    queries: async_channel::Sender<PlaceQuery>,
}

impl SocketFinder {
    /// Creates a finder that knows `nodes`.
    pub fn new(nodes: Vec<types::RelayNode>, spawner: &worker::TaskSpawner) -> Self {
        let (queries, waiting) = async_channel::unbounded();
        let reader = SocketReader { nodes, folders: Vec::new() };
        spawner.detach(reader.run(waiting));
        Self { queries }
    }

    /// Returns the place of the node whose connection reaches `listen` from `remote`; none if it
    /// is not a known node's.
    pub async fn place(
        &self,
        remote: net::SocketAddr,
        listen: net::SocketAddr,
    ) -> Option<types::RelayPlace> {
        let (answer, answered) = async_channel::bounded(1);
        let ports = PortPair { local: remote.port(), remote: listen.port() };
        self.queries.send(PlaceQuery { ports, answer }).await.ok()?;
        answered.recv().await.ok().flatten()
    }
}

/// A running node process.
#[derive(Clone, Debug)]
struct NodeFolder {
    place: types::RelayPlace,
    folder: path::PathBuf,
}

#[derive(Debug)]
struct SocketReader {
    nodes: Vec<types::RelayNode>,
    folders: Vec<NodeFolder>,
}

impl SocketReader {
    async fn run(mut self, waiting: async_channel::Receiver<PlaceQuery>) {
        while let Ok(first) = waiting.recv().await {
            let mut queries = vec![first];
            while let Ok(query) = waiting.try_recv() {
                queries.push(query);
            }
            self.answer(&queries);
        }
    }

    fn answer(&mut self, queries: &[PlaceQuery]) {
        let inodes = socket_inodes(queries);
        let mut holders = self.holders();
        if inodes.values().any(|inode| !holders.contains_key(inode)) {
            self.folders = self.scan();
            holders = self.holders();
        }
        for query in queries {
            let place = inodes.get(&query.ports).and_then(|inode| holders.get(inode)).cloned();
            query.answer.try_send(place).ok();
        }
    }

    /// Returns the place of each socket that a node holds.
    fn holders(&self) -> IndexMap<Box<str>, types::RelayPlace> {
        let mut holders = IndexMap::new();
        for node in &self.folders {
            let descriptors = fs::read_dir(node.folder.join("fd")).into_iter().flatten().flatten();
            for link in descriptors.filter_map(|entry| fs::read_link(entry.path()).ok()) {
                let inode = link.to_str().and_then(|text| text.strip_prefix("socket:["));
                if let Some(inode) = inode.and_then(|text| text.strip_suffix(']')) {
                    holders.insert(inode.into(), node.place.clone());
                }
            }
        }
        holders
    }

    fn scan(&self) -> Vec<NodeFolder> {
        let entries = fs::read_dir(PROCESS_FOLDER).into_iter().flatten().flatten();
        entries.filter_map(|entry| self.recognise(entry.path())).collect()
    }

    fn recognise(&self, folder: path::PathBuf) -> Option<NodeFolder> {
        let command = fs::read(folder.join("cmdline")).ok()?;
        let mut words = command.split(|byte| *byte == 0);
        words.find(|word| *word == b"--peer-address")?;
        let address = str::from_utf8(words.next()?).ok()?.parse().ok()?;
        let node = self.nodes.iter().find(|node| node.peer_address == address)?;
        Some(NodeFolder { place: node.place.clone(), folder })
    }
}

/// Returns the inode of each connection asked for.
fn socket_inodes(queries: &[PlaceQuery]) -> IndexMap<PortPair, Box<str>> {
    let wanted: IndexSet<_> = queries.iter().map(|query| query.ports).collect();
    let table = fs::read_to_string(SOCKET_TABLE).unwrap_or_default();
    let mut inodes = IndexMap::new();
    for line in table.lines().skip(1) {
        let mut columns = line.split_ascii_whitespace().skip(1);
        let ports = PortPair { local: port(columns.next()), remote: port(columns.next()) };
        if wanted.contains(&ports)
            && let Some(inode) = columns.nth(INODE_COLUMNS_LATER)
        {
            inodes.insert(ports, inode.into());
        }
    }
    inodes
}

fn port(column: Option<&str>) -> u16 {
    let digits = column.and_then(|column| column.rsplit_once(':'));
    digits.and_then(|(_, digits)| u16::from_str_radix(digits, 16).ok()).unwrap_or(0)
}
