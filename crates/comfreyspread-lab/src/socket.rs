//! Finding out which node opened a connection on this machine.
//!
//! Each endpoint and node has one address for all that call it, so a relay cannot tell callers
//! apart by address. The system can: it lists the sockets of each process.

use crate::types;
use comfreyspread::rank;
use std::{fs, net, path};

const SOCKET_TABLE: &str = "/proc/net/tcp";
const PROCESS_FOLDER: &str = "/proc";
const LOCAL_COLUMN: usize = 1;
const REMOTE_COLUMN: usize = 2;
const INODE_COLUMN: usize = 9;

/// Finds the place of the node that opened a connection.
#[derive(Debug)]
pub struct SocketFinder {
    nodes: Vec<types::RelayNode>,
    found: rank::RankedLock<rank::MemberRank, Vec<NodeFolder>>,
}

/// A running node process.
#[derive(Clone, Debug)]
struct NodeFolder {
    place: types::RelayPlace,
    folder: path::PathBuf,
}

impl SocketFinder {
    /// Creates a finder that knows `nodes`.
    pub fn new(nodes: Vec<types::RelayNode>) -> Self {
        Self { nodes, found: rank::RankedLock::new(Vec::new()) }
    }

    /// Returns the place of the node whose connection reaches `listen` from `remote`; none if it
    /// is not a known node's.
    pub fn place(
        &self,
        remote: net::SocketAddr,
        listen: net::SocketAddr,
    ) -> Option<types::RelayPlace> {
        let inode = socket_inode(remote, listen)?;
        let known = holder(&self.found.lock(), &inode);
        if known.is_some() {
            return known;
        }
        let folders = self.scan();
        let place = holder(&folders, &inode);
        *self.found.lock() = folders;
        place
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

fn holder(folders: &[NodeFolder], inode: &str) -> Option<types::RelayPlace> {
    let target = format!("socket:[{inode}]");
    let holds = |node: &&NodeFolder| {
        let descriptors = fs::read_dir(node.folder.join("fd")).into_iter().flatten().flatten();
        let mut links = descriptors.filter_map(|entry| fs::read_link(entry.path()).ok());
        links.any(|link| link.as_os_str() == target.as_str())
    };
    folders.iter().find(holds).map(|node| node.place.clone())
}

fn socket_inode(local: net::SocketAddr, remote: net::SocketAddr) -> Option<Box<str>> {
    let table = fs::read_to_string(SOCKET_TABLE).ok()?;
    let local = format!(":{:04X}", local.port());
    let remote = format!(":{:04X}", remote.port());
    let columns = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let matches = |columns: &Vec<&str>| {
        let column = |index: usize| columns.get(index).copied().unwrap_or_default();
        column(LOCAL_COLUMN).ends_with(&local) && column(REMOTE_COLUMN).ends_with(&remote)
    };
    columns.into_iter().find(matches)?.get(INODE_COLUMN).map(|inode| (*inode).into())
}
