//! Two machines of a zone stand still as a version of the configuration is confirmed; the third one
//! of the zone is not disturbed.

use crate::{nodes, record, store, traffic};
use std::{path::Path, thread, time::Duration};

/// Idle routes of the configuration.
const IDLE_ROUTES: usize = 350;
/// Time for which two machines stand still.
const FREEZE: Duration = Duration::from_secs(4);
/// Time between two freezes: longer than `contact_ms` (4 s).
const CALM: Duration = Duration::from_secs(7);
const ROUNDS: u32 = 6;
/// Time from a version to the freeze; the next version follows at once.
const STEP: Duration = Duration::from_millis(15);
/// Consumers of the third machine, and their pause.
const CONSUMERS: usize = 3;
const PAUSE: Duration = Duration::from_millis(20);

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = record::Record::new();
    let result = play(&record, trouble);
    record.finish(folder, "CONFIG", &result)?;
    result
}

fn play(record: &record::Record, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, store_address) = store::Store::start().map_err(text)?;
    let mut versions = vec![traffic::set_version(&store, record, (1, 0), IDLE_ROUTES)];
    let replicas = traffic::start_replicas(&[store.clone()], record)?;
    let zones = ["antioquia-a", "antioquia-a", "antioquia-a", "antioquia-b"];
    let places = nodes::places(&zones).map_err(text)?;
    let nodes = nodes::start(&places, store_address).map_err(text)?;
    record.add("all nodes are ready");
    thread::sleep(CALM);
    let third = &nodes[2].place;
    let consumers =
        traffic::Consumers::start(third.front, &third.name, CONSUMERS, PAUSE, record);
    thread::sleep(CALM);
    for round in 0..ROUNDS {
        let (number, service) = (10 * (round + 1), (round % 2) as usize);
        versions.push(traffic::set_version(&store, record, (number, service), IDLE_ROUTES));
        thread::sleep(STEP);
        if trouble {
            for node in &nodes[..2] {
                node.signal("STOP").map_err(text)?;
                record.add(&format!("{} stands still", node.place.name));
            }
        }
        let next = (number + 3, 1 - service);
        versions.push(traffic::set_version(&store, record, next, IDLE_ROUTES));
        thread::sleep(FREEZE);
        if trouble {
            for node in &nodes[..2] {
                node.signal("CONT").map_err(text)?;
                record.add(&format!("{} goes on", node.place.name));
            }
        }
        thread::sleep(CALM);
    }
    let sent = consumers.stop();
    drop(nodes);
    let stale = traffic::count_stale(&versions, &sent, &replicas, record);
    let served = sent.iter().filter(|one| one.status == 200).count();
    record.add(&format!("{} sent, {served} served, {stale} by a version that is gone", sent.len()));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(stale == 0)
}
