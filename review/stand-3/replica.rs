//! A sound replica of a plain service.

use crate::{http, record, store};
use std::{
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Time between two writes of a replica's entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A replica, and what it ran.
#[derive(Debug)]
pub struct Replica {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its entry in the store.
    pub entry: String,
    work: Duration,
    runs: Mutex<Vec<Run>>,
    record: record::Record,
}

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its id.
    pub request: String,
    /// Its path.
    pub path: String,
}

impl Replica {
    /// Starts a replica that works `work` on each request and registers in the stores.
    pub fn start(
        stores: &[Arc<store::Store>],
        record: &record::Record,
        (service, zone): (&str, &str),
        id: &str,
        work: Duration,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":4,\
             \"born\":1796600000000}}"
        );
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            entry,
            work,
            runs: Mutex::default(),
            record: record.clone(),
        });
        let shared = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = shared.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        let (shared, stores) = (replica.clone(), stores.to_vec());
        thread::spawn(move || {
            loop {
                for store in &stores {
                    store.set("servers", &shared.id, Some(&shared.entry));
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(replica)
    }

    /// Returns what it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().map(|runs| runs.clone()).unwrap_or_default()
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                self.record.add(&format!("replica {} refuses {id}: 421", self.id));
                let headers = [("Request-Id", &*id), ("Instance-Id", &self.id), ("Not-Executed", "1")];
                http::write(&mut writer, "HTTP/1.1 421 Misdirected Request", &headers, b"").ok();
                continue;
            }
            let path = request.path().to_owned();
            self.record.add(&format!(
                "replica {} of {} runs {id}: {} {path}",
                self.id,
                self.service,
                request.method()
            ));
            if let Ok(mut runs) = self.runs.lock() {
                runs.push(Run { request: id.clone(), path });
            }
            thread::sleep(self.work);
            let body = format!("{} {id}", self.service);
            let stamp = format!("{}.{id}", self.id);
            let headers = [("Request-Id", &*id), ("Response-Stamp", &stamp)];
            if http::write(&mut writer, "HTTP/1.1 200 OK", &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }
}
