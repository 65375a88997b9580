//! Stand-in for the platform: table service, object store and VM list, with fault switches.
//!
//! `POST /faults` takes a [`types::StoreFaults`]. A stand-in that is down reads a request and
//! closes the connection; one that loses answers carries out writes first.

use crate::{stand_in_server, types};
use async_io::Timer;
use comfreyspread::{
    runtime::{rank, worker},
    transport::{http_message, http_server},
};
use comfreyspread_schema::{ids, types as wire};
use http::{Method, StatusCode};
use indexmap::IndexMap;
use std::{net, sync, time};

const ROWS_PATH: &str = "/v1/tables/";
const OBJECTS_PATH: &str = "/v1/objects/";

/// Runs the platform stand-in.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArguments {
    /// address to serve
    #[argh(option)]
    pub address: net::SocketAddr,
}

impl PlatformArguments {
    /// Serves until told to stop.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<()> {
        let handler = sync::Arc::new(PlatformHandler::new());
        stand_in_server::start(self.address, handler, spawner).await?;
        stand_in_server::wait_for_stop().await
    }
}

/// Rows of one table.
type TableRows = IndexMap<ids::Text, wire::TableRow>;

/// Everything the platform keeps.
#[derive(Clone, Debug, Default)]
struct PlatformState {
    tables: IndexMap<ids::Text, TableRows>,
    objects: IndexMap<ids::Text, ids::Payload>,
    vms: Vec<wire::VmRecord>,
    next_version: ids::RowVersion,
}

#[derive(Debug, Default)]
struct PlatformTables {
    state: PlatformState,
    stale: Option<PlatformState>,
    faults: types::StoreFaults,
    stats: types::StoreStats,
    pending_vms: Vec<PendingList>,
}

/// A VM list that is not seen yet.
#[derive(Debug)]
struct PendingList {
    vms: Vec<wire::VmRecord>,
    due: time::Instant,
}

impl PlatformTables {
    fn count(&mut self, request: &http_server::ServerRequest) {
        if request.method() == Method::GET {
            self.stats.reads += 1;
        } else {
            self.stats.writes += 1;
        }
        self.stats.bytes += u64::try_from(request.body().len()).unwrap_or(u64::MAX);
    }

    fn set_vms(&mut self, vms: Vec<wire::VmRecord>) {
        self.pending_vms.push(PendingList { vms, due: time::Instant::now() + self.faults.vm_lag });
    }

    /// Shows the lists whose lag has passed.
    fn show_vms(&mut self) {
        let now = time::Instant::now();
        let shown = self.pending_vms.iter().take_while(|list| list.due <= now).count();
        if let Some(list) = self.pending_vms.drain(..shown).next_back() {
            self.state.vms = list.vms;
        }
    }
}

/// Answers as the platform would.
#[derive(Debug)]
pub struct PlatformHandler {
    started: time::Instant,
    tables: rank::RankedLock<rank::PoolRank, PlatformTables>,
}

impl PlatformHandler {
    /// Creates an empty platform.
    pub fn new() -> Self {
        let tables = rank::RankedLock::new(PlatformTables::default());
        Self { started: time::Instant::now(), tables }
    }

    fn answer(&self, request: &http_server::ServerRequest) -> http_message::Response {
        let path = request.path();
        self.tables.lock().count(request);
        match (request.method(), path) {
            (&Method::POST, "/v1/transactions") => {
                stand_in_server::handle_json(request, |transaction| self.transact(&transaction))
            }
            (&Method::GET, "/v1/vms") => {
                self.tables.lock().show_vms();
                let vms = self.read(|state| state.vms.clone());
                stand_in_server::json_response(&wire::VmList { vms })
            }
            (&Method::PUT, "/v1/vms") => {
                stand_in_server::handle_json(request, |list: wire::VmList| {
                    self.tables.lock().set_vms(list.vms);
                    http_message::Response::new(StatusCode::OK)
                })
            }
            (&Method::GET, _) if path.starts_with(ROWS_PATH) => self.read_rows(request),
            (&Method::GET, _) if path.starts_with(OBJECTS_PATH) => {
                let object = self.read(|state| state.objects.get(path).cloned());
                object.map_or_else(not_found, |body| {
                    let mut response = http_message::Response::new(StatusCode::OK);
                    response.set_body(body);
                    response
                })
            }
            (&Method::PUT, _) if path.starts_with(OBJECTS_PATH) => {
                self.tables.lock().state.objects.insert(path.into(), request.body().clone());
                http_message::Response::new(StatusCode::OK)
            }
            _ => not_found(),
        }
    }

    fn stats(&self) -> http_message::Response {
        let stats = self.tables.lock().stats.clone();
        stand_in_server::json_response(&types::StoreStats { now: self.started.elapsed(), ..stats })
    }

    fn set_faults(&self, faults: types::StoreFaults) -> http_message::Response {
        let mut tables = self.tables.lock();
        tables.stale = faults.stale.then(|| tables.state.clone());
        tables.faults = faults;
        http_message::Response::new(StatusCode::OK)
    }

    fn read<Value>(&self, read: impl FnOnce(&PlatformState) -> Value) -> Value {
        let tables = self.tables.lock();
        read(tables.stale.as_ref().unwrap_or(&tables.state))
    }

    fn read_rows(&self, request: &http_server::ServerRequest) -> http_message::Response {
        let path = request.path().trim_start_matches(ROWS_PATH);
        let Some((table, key)) = path.split_once("/rows") else { return not_found() };
        if let Some(key) = key.strip_prefix('/') {
            let row = self.read(|state| state.tables.get(table)?.get(key).cloned());
            return row.map_or_else(not_found, |row| stand_in_server::json_response(&row));
        }
        let prefix = request.query().and_then(|query| query.strip_prefix("prefix=")).unwrap_or("");
        let rows = self.read(|state| scan(state.tables.get(table), prefix));
        stand_in_server::json_response(&wire::TableRows { rows })
    }

    fn transact(&self, request: &wire::TransactionRequest) -> http_message::Response {
        let mut tables = self.tables.lock();
        let state = &mut tables.state;
        let committed = request.writes.iter().all(|write| state.holds(write));
        if committed {
            for write in &request.writes {
                state.apply(write);
            }
        }
        if !committed {
            tables.stats.refused += 1;
        }
        let state = &tables.state;
        let versions = request.writes.iter().map(|write| state.version(write)).collect();
        stand_in_server::json_response(&wire::TransactionReply { committed, versions })
    }
}

impl Default for PlatformHandler {
    fn default() -> Self {
        Self::new()
    }
}

impl PlatformState {
    fn version(&self, write: &wire::RowWrite) -> ids::RowVersion {
        let row = self.tables.get(&write.table).and_then(|rows| rows.get(&write.key));
        row.map_or(0, |row| row.version)
    }

    fn holds(&self, write: &wire::RowWrite) -> bool {
        let current = self.version(write);
        match write.condition {
            wire::RowPrecondition::Absent => current == 0,
            wire::RowPrecondition::Version(version) => current == version,
            wire::RowPrecondition::Any => true,
        }
    }

    fn apply(&mut self, write: &wire::RowWrite) {
        self.next_version += 1;
        let rows = self.tables.entry(write.table.clone()).or_default();
        let Some(value) = &write.value else {
            rows.shift_remove(&write.key);
            return;
        };
        let row = wire::TableRow {
            key: write.key.clone(),
            value: value.clone(),
            version: self.next_version,
        };
        rows.insert(write.key.clone(), row);
    }
}

fn scan(rows: Option<&TableRows>, prefix: &str) -> Vec<wire::TableRow> {
    let matching = rows.into_iter().flatten().filter(|(key, _)| key.starts_with(prefix));
    let mut found: Vec<_> = matching.map(|(_, row)| row.clone()).collect();
    found.sort_by(|one, other| one.key.cmp(&other.key));
    found
}

fn not_found() -> http_message::Response {
    http_message::Response::new(StatusCode::NOT_FOUND)
}

impl http_server::RequestHandler for PlatformHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        if request.path() == "/faults" {
            return stand_in_server::handle_json(&request, |faults| self.set_faults(faults));
        }
        if request.path() == "/stats" {
            return self.stats();
        }
        let faults = self.tables.lock().faults.clone();
        if faults.delay > time::Duration::ZERO {
            Timer::after(faults.delay).await;
        }
        if faults.down {
            return stand_in_server::truncated_response();
        }
        let answer = self.answer(&request);
        let sent = answer.len().unwrap_or(0);
        self.tables.lock().stats.bytes += sent;
        let wrote = request.method() != Method::GET;
        if faults.lose_answers && wrote { stand_in_server::truncated_response() } else { answer }
    }

    fn refuse(&self, _fault: http_server::RequestFault) -> http_message::Response {
        stand_in_server::bad_request()
    }
}
