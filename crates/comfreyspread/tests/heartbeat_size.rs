//! The bytes per second that a node sends as heartbeats don't grow with the deployment.

use comfreyspread_policy::membership;
use comfreyspread_schema::types;
use std::time;

const RECORDS_PER_MESSAGE: usize = 4;
const MESSAGES: usize = 200;
/// Probes that a node sends per second, and replies to those of others, which have no digest.
const PROBES_PER_SECOND: f64 = 2.0;
const REPLIES_PER_SECOND: f64 = 2.0;
/// Bytes of HTTP overhead per message.
const HTTP_BYTES: f64 = 200.0;

fn record(index: usize) -> types::MemberRecord {
    types::MemberRecord {
        address: ([10, 0, 0, 1], 18_000).into(),
        incarnation: 3,
        node: format!("entry-antioquia-{index:03}").into(),
        node_phase: types::NodePhase::Serving,
        phase: types::MemberPhase::Alive,
        region: "antioquia".into(),
        revision: 2400,
        start_id: u64::MAX - 1,
        vm: format!("vm-antioquia-{index:03}").into(),
        zone: "antioquia-a".into(),
    }
}

/// Returns the mean size of a message with or without a digest, when each carries member changes.
fn mean_bytes(members: usize, with_digest: bool) -> f64 {
    let now = time::Instant::now();
    let failure = time::Duration::from_secs(3);
    let times = membership::MemberTimeouts { failure, retention: failure * 20 };
    let mut table = membership::MemberTable::new(record(0), times);
    let mut total = 0;
    for index in 0..MESSAGES {
        (1..members).for_each(|other| {
            table.merge(types::MemberRecord { incarnation: index as u64, ..record(other) }, now);
        });
        let message = types::Heartbeat {
            header: types::PeerHeader {
                node: record(0).node,
                protocol: 1,
                revision: 2400,
                start_id: u64::MAX - 1,
            },
            hints: Vec::new(),
            members: table.gossip_records(RECORDS_PER_MESSAGE),
            crash_suspects: Vec::new(),
            part_suspects: Vec::new(),
            digest: if with_digest { table.digest().into_buckets() } else { Vec::new() },
            indirect_probe_target: None,
            full_sync: false,
        };
        total += rmp_serde::to_vec_named(&message).expect("encodable").len();
    }
    total as f64 / MESSAGES as f64
}

#[test]
fn constant_rate() {
    for members in [8, 64, 256, 670] {
        let probe = mean_bytes(members, true) + HTTP_BYTES;
        let reply = mean_bytes(members, false) + HTTP_BYTES;
        let rate = probe * PROBES_PER_SECOND + reply * REPLIES_PER_SECOND;
        println!("{members} members: {probe:.0} and {reply:.0} bytes, {rate:.0} a second");
        assert!(rate < 5000.0, "{rate} bytes per second at {members} members");
    }
}
