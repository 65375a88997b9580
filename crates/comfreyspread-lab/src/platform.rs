//! Stand-in for the platform: table service, object store and VM list, with fault injection.
//!
//! `POST /faults` takes a [`types::StoreFaults`]. With `down`, the stand-in reads each request and
//! closes the connection; with `lose_answers`, it applies writes before it closes the connection;
//! with `restore`, it goes back to the copy kept by `keep_copy`, and its era rises by one.

use crate::{stand_in_server, types};
use async_io::Timer;
use comfreyspread::{
    runtime::{lock_rank, worker},
    transport::{header, http_message, http_server},
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
    /// Serves until the process receives SIGINT or SIGTERM.
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

/// Data of the platform.
#[derive(Clone, Debug, Default)]
struct PlatformData {
    tables: IndexMap<ids::Text, TableRows>,
    objects: IndexMap<ids::Text, ids::Payload>,
    vms: Vec<wire::VmRecord>,
    next_version: ids::RowVersion,
}

/// Data and injected faults of the platform.
#[derive(Debug, Default)]
struct PlatformState {
    data: PlatformData,
    stale: Option<PlatformData>,
    copy: Option<PlatformData>,
    era: ids::StoreEra,
    faults: types::StoreFaults,
    stats: types::StoreStats,
    pending_vms: Vec<PendingVmList>,
}

/// A VM list that is not visible yet.
#[derive(Debug)]
struct PendingVmList {
    vms: Vec<wire::VmRecord>,
    visible_at: time::Instant,
}

impl PlatformState {
    fn record_request(&mut self, request: &http_server::ServerRequest) {
        if request.method() == Method::GET {
            self.stats.reads += 1;
        } else {
            self.stats.writes += 1;
        }
        self.stats.bytes += u64::try_from(request.body().len()).unwrap_or(u64::MAX);
    }

    fn set_vms(&mut self, vms: Vec<wire::VmRecord>) {
        self.pending_vms
            .push(PendingVmList { vms, visible_at: time::Instant::now() + self.faults.vm_lag });
    }

    /// Goes back to the copy, whose list of VMs is not part of it.
    fn restore(&mut self) {
        let vms = std::mem::take(&mut self.data.vms);
        self.data = PlatformData { vms, ..self.copy.clone().unwrap_or_default() };
        self.era += 1;
    }

    /// Makes the newest VM list whose delay has passed visible.
    fn publish_vms(&mut self) {
        let now = time::Instant::now();
        let visible_count =
            self.pending_vms.iter().take_while(|list| list.visible_at <= now).count();
        if let Some(list) = self.pending_vms.drain(..visible_count).next_back() {
            self.data.vms = list.vms;
        }
    }
}

/// Handler of requests to the platform.
#[derive(Debug)]
pub struct PlatformHandler {
    started: time::Instant,
    state: lock_rank::RankedLock<lock_rank::PoolRank, PlatformState>,
}

impl PlatformHandler {
    /// Creates an empty platform.
    pub fn new() -> Self {
        let state = lock_rank::RankedLock::new(PlatformState::default());
        Self { started: time::Instant::now(), state }
    }

    fn respond(&self, request: &http_server::ServerRequest) -> http_message::Response {
        let path = request.path();
        self.state.lock().record_request(request);
        match (request.method(), path) {
            (&Method::POST, "/v1/transactions") => {
                stand_in_server::with_json(request, |transaction| self.transact(&transaction))
            }
            (&Method::GET, "/v1/vms") => {
                self.state.lock().publish_vms();
                let vms = self.read(|data| data.vms.clone());
                stand_in_server::json_response(&wire::VmList { vms })
            }
            (&Method::PUT, "/v1/vms") => {
                stand_in_server::with_json(request, |list: wire::VmList| {
                    self.state.lock().set_vms(list.vms);
                    http_message::Response::new(StatusCode::OK)
                })
            }
            (&Method::GET, _) if path.starts_with(ROWS_PATH) => self.read_rows(request),
            (&Method::GET, _) if path.starts_with(OBJECTS_PATH) => {
                let object = self.read(|data| data.objects.get(path).cloned());
                object.map_or_else(not_found, |body| {
                    let mut response = http_message::Response::new(StatusCode::OK);
                    response.set_body(body);
                    response
                })
            }
            (&Method::PUT, _) if path.starts_with(OBJECTS_PATH) => {
                self.state.lock().data.objects.insert(path.into(), request.body().clone());
                http_message::Response::new(StatusCode::OK)
            }
            _ => not_found(),
        }
    }

    fn stats(&self) -> http_message::Response {
        let stats = self.state.lock().stats.clone();
        stand_in_server::json_response(&types::StoreStats { now: self.started.elapsed(), ..stats })
    }

    fn set_faults(&self, faults: types::StoreFaults) -> http_message::Response {
        let mut state = self.state.lock();
        if faults.keeps_copy {
            state.copy = Some(state.data.clone());
        }
        if faults.restores {
            state.restore();
        }
        state.stale = faults.stale.then(|| state.data.clone());
        state.faults = faults;
        http_message::Response::new(StatusCode::OK)
    }

    /// Reads the current data, or the snapshot if stale reads are injected.
    fn read<Value>(&self, select: impl FnOnce(&PlatformData) -> Value) -> Value {
        let state = self.state.lock();
        select(state.stale.as_ref().unwrap_or(&state.data))
    }

    fn read_rows(&self, request: &http_server::ServerRequest) -> http_message::Response {
        let path = request.path().trim_start_matches(ROWS_PATH);
        let Some((table, row_path)) = path.split_once("/rows") else { return not_found() };
        if let Some(key) = row_path.strip_prefix('/') {
            let row = self.read(|data| data.tables.get(table)?.get(key).cloned());
            return row.map_or_else(not_found, |row| stand_in_server::json_response(&row));
        }
        let prefix = request.query().and_then(|query| query.strip_prefix("prefix=")).unwrap_or("");
        let rows = self.read(|data| scan(data.tables.get(table), prefix));
        stand_in_server::json_response(&wire::TableRows { rows })
    }

    fn transact(&self, request: &wire::TransactionRequest) -> http_message::Response {
        let mut state = self.state.lock();
        let data = &mut state.data;
        let committed = request.writes.iter().all(|write| data.precondition_holds(write));
        if committed {
            for write in &request.writes {
                data.apply(write);
            }
        }
        if !committed {
            state.stats.refused += 1;
        }
        let data = &state.data;
        let versions = request.writes.iter().map(|write| data.version(write)).collect();
        stand_in_server::json_response(&wire::TransactionReply { committed, versions })
    }
}

impl Default for PlatformHandler {
    fn default() -> Self {
        Self::new()
    }
}

impl PlatformData {
    /// Returns the current version of the row to be written; 0 if there is none.
    fn version(&self, write: &wire::RowWrite) -> ids::RowVersion {
        let row = self.tables.get(&write.table).and_then(|rows| rows.get(&write.key));
        row.map_or(0, |row| row.version)
    }

    fn precondition_holds(&self, write: &wire::RowWrite) -> bool {
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
            return stand_in_server::with_json(&request, |faults| self.set_faults(faults));
        }
        if request.path() == "/stats" {
            return self.stats();
        }
        let faults = self.state.lock().faults.clone();
        if faults.delay > time::Duration::ZERO {
            Timer::after(faults.delay).await;
        }
        if faults.down {
            return stand_in_server::truncated_response();
        }
        let mut response = self.respond(&request);
        response.insert_header(header::TABLE_ERA, self.state.lock().era.to_string());
        let bytes_sent = response.len().unwrap_or(0);
        self.state.lock().stats.bytes += bytes_sent;
        let is_write = request.method() != Method::GET;
        if faults.lose_answers && is_write {
            stand_in_server::truncated_response()
        } else {
            response
        }
    }

    fn refuse(&self, _fault: http_server::RequestError) -> http_message::Response {
        stand_in_server::bad_request()
    }
}
