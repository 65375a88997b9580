//! Endpoint that leaves new connections unanswered until it is told to accept them.

use super::raw_endpoint;
use async_net::{TcpListener, TcpStream};
use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use rustix::net::{AddressFamily, SocketType};
use std::{net, time};

/// Time after which a connection counts as unanswered.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
const MAX_QUEUED: usize = 8;

/// An endpoint whose queue of connections is full. The kernel of a client tries again after 1 and
/// 3 seconds.
pub struct FullListener {
    listener: TcpListener,
    /// Connections that fill the queue.
    queued: Vec<TcpStream>,
}

impl FullListener {
    /// Starts an endpoint in availability zone `a` and registers it under `service` in place of
    /// `replaced`.
    pub async fn new(fleet: &fleet::FleetStandIn, service: &str, replaced: &[&str]) -> Self {
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
        let socket = socket.expect("a socket");
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        rustix::net::bind(&socket, &any_port).expect("a free port");
        rustix::net::listen(&socket, 0).expect("a listener");
        let listener = TcpListener::try_from(net::TcpListener::from(socket)).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut queued = Vec::new();
        while let Some(stream) = connect(address).await {
            queued.push(stream);
            assert!(queued.len() < MAX_QUEUED, "the queue of connections is not bounded");
        }
        for name in replaced {
            fleet.set_row("servers", name, None);
        }
        let registration = serde_json::json!({
            "service": service, "address": address, "zone": "a", "slots": 4, "state": "ready",
            "cold_left_ms": 0, "seq": 1, "born": 1,
        });
        fleet.set_row("servers", "late-1", Some(&registration.to_string()));
        Self { listener, queued }
    }

    /// Accepts connections from now on; returns where the heads of requests received will be, in
    /// lower case. None is answered.
    pub fn accept(self, spawner: &worker::TaskSpawner) -> async_channel::Receiver<String> {
        let (sender, heads) = async_channel::unbounded();
        let task_spawner = spawner.clone();
        drop(self.queued);
        let listener = self.listener;
        spawner.detach(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let sender = sender.clone();
                task_spawner.detach(async move {
                    if let Some(head) = raw_endpoint::read_head(&mut stream).await {
                        sender.send(head).await.ok();
                    }
                });
            }
        });
        heads
    }
}

async fn connect(address: net::SocketAddr) -> Option<TcpStream> {
    let connected = async { TcpStream::connect(address).await.ok() };
    let timed_out = async {
        async_io::Timer::after(CONNECT_TIMEOUT).await;
        None
    };
    futures_lite::FutureExt::or(connected, timed_out).await
}
