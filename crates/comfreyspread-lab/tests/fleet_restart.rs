//! All nodes end at the same moment and are started again.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use std::time;

/// Stated time after which requests are served again.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(12);
const NAMES: [&str; 3] = ["node-1", "node-2", "node-3"];

async fn start(fleet: &fleet::FleetStandIn) -> Vec<fleet::FleetNode> {
    let mut nodes = Vec::<fleet::FleetNode>::new();
    for name in NAMES {
        let seeds: Vec<_> = nodes.iter().map(|node| node.control).collect();
        nodes.push(fleet.start_node(&gateway::program(), name, &seeds).await.expect("a node"));
    }
    nodes
}

/// They serve plain requests, streams and stages with what the store holds, also a change that was
/// made just before.
#[test]
fn killed_together() {
    let pool = comfreyspread::runtime::worker::WorkerPool::new(2).expect("threads");
    common::run(async {
        let fleet = gateway::new_fleet(&pool).await;
        let mut nodes = start(&fleet).await;
        let mut changed = gateway::document(2);
        changed["routes"].as_array_mut().expect("routes").remove(0);
        fleet.set_document(&changed);
        nodes.iter_mut().for_each(|node| node.process.kill());
        let begun = time::Instant::now();
        let nodes = start(&fleet).await;
        for (number, node) in nodes.iter().enumerate() {
            for (path, status) in [("/read/", 404), ("/write/", 200), ("/chat/", 200)] {
                let id = format!("r-{number}{path}").replace('/', "-");
                let answer = gateway::send(node.front, gateway::request(node.front, path, &id));
                assert_eq!(answer.await.0, status, "{path}");
            }
            let mut report = gateway::request(node.front, "/report/", &format!("report-{number}"));
            report.insert_header("pieces", "2,1");
            report.insert_header("piece-key", "k");
            assert_eq!(gateway::send(node.front, report).await.0, 200);
        }
        assert!(begun.elapsed() < RECOVERY_LIMIT, "after {:?}", begun.elapsed());
    });
    pool.stop();
}
