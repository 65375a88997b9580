//! Hundreds of nodes agree on who is running, within a bounded number of bytes.
//!
//! Records of a member that spread slower than suspicions of it make every node declare live
//! members failed, and each node's choice by members differ from the others'.

mod event_queue;
mod gossip_model;

use std::time;

const SIZES: [usize; 2] = [300, 700];
/// Time in which all nodes know each other after all have started at once: at 300 nodes before the
/// first callers come.
const START_TIME: time::Duration = time::Duration::from_secs(14);
const LARGEST_START_TIME: time::Duration = time::Duration::from_secs(20);
/// Time in which every running node no longer considers a crashed node live.
const DETECTION_TIME: time::Duration = time::Duration::from_secs(25);
/// Bytes a second that a node may spend on control.
const BYTES_PER_SECOND: f64 = 5000.0;

fn started(nodes: usize, seed: u64) -> gossip_model::Fleet {
    let mut fleet = gossip_model::Fleet::new(nodes, seed);
    fleet.run(if nodes > 300 { LARGEST_START_TIME } else { START_TIME });
    assert_eq!(fleet.unknown_pairs(), 0, "{nodes} nodes after their start");
    assert_eq!(fleet.failures.len(), 0, "{nodes} nodes after their start");
    fleet
}

/// Returns the failures declared of nodes that were running.
fn false_failures(fleet: &gossip_model::Fleet) -> usize {
    let running = fleet.running();
    fleet.failures.iter().filter(|(_, _, failed)| running.contains(failed)).count()
}

#[test]
fn calm_start() {
    for nodes in SIZES {
        let mut fleet = started(nodes, 1);
        let bytes = fleet.bytes_per_second(time::Duration::from_secs(20));
        assert_eq!(fleet.failures.len(), 0, "{nodes} nodes");
        assert!(bytes < BYTES_PER_SECOND, "{bytes} bytes a second at {nodes} nodes");
    }
}

/// Runs a fleet that loses a share of its messages; returns the bytes a second that a node sends.
fn lossy_bytes(loss: f64) -> f64 {
    let mut fleet = started(300, 2);
    fleet.loss = loss;
    let bytes = fleet.bytes_per_second(time::Duration::from_secs(60));
    assert_eq!(fleet.failures.len(), 0, "with a loss of {loss}");
    println!("{bytes:.0} bytes a second while {loss} of the messages are lost");
    bytes
}

#[test]
fn lossy_links() {
    lossy_bytes(0.05);
    let bytes = lossy_bytes(0.01);
    assert!(bytes < BYTES_PER_SECOND, "{bytes} bytes a second");
}

#[test]
fn very_lossy_bytes() {
    let bytes = lossy_bytes(0.05);
    assert!(bytes < BYTES_PER_SECOND, "{bytes} bytes a second");
}

#[test]
fn crash_detected() {
    for nodes in SIZES {
        let mut fleet = started(nodes, 3);
        for crashed in [7, 100, 250] {
            fleet.crash(crashed);
        }
        fleet.run(DETECTION_TIME);
        for crashed in [7, 100, 250] {
            assert_eq!(fleet.believers(crashed), 0, "of {nodes} nodes");
        }
        assert_eq!(false_failures(&fleet), 0, "{nodes} nodes");
    }
}

#[test]
fn frozen_members() {
    let mut fleet = started(300, 4);
    (10..20).for_each(|index| fleet.stall(index, time::Duration::from_secs(3)));
    fleet.run(time::Duration::from_secs(30));
    assert_eq!(fleet.failures.len(), 0);
    assert_eq!(fleet.unknown_pairs(), 0);
    assert!(fleet.suspicions > 0, "nobody noticed");
}

#[test]
fn third_cut_off() {
    let mut fleet = started(300, 5);
    (0..fleet.groups.len()).for_each(|index| fleet.groups[index] = u32::from(index % 3 == 0));
    fleet.run(time::Duration::from_secs(10));
    fleet.groups.fill(0);
    fleet.run(START_TIME);
    assert_eq!(fleet.unknown_pairs(), 0);
}

#[test]
fn zone_lost() {
    let mut fleet = started(300, 6);
    let lost: Vec<_> = (0..300).filter(|index| gossip_model::zone_of(*index) == 2).collect();
    lost.iter().for_each(|index| fleet.crash(*index));
    fleet.run(DETECTION_TIME);
    let believers: usize = lost.iter().map(|index| fleet.believers(*index)).sum();
    assert_eq!(believers, 0);
    assert_eq!(false_failures(&fleet), 0);
}

#[test]
fn nodes_added() {
    let mut fleet = started(300, 7);
    fleet.add(50);
    fleet.run(START_TIME);
    assert_eq!(fleet.unknown_pairs(), 0);
    assert_eq!(fleet.failures.len(), 0);
}
