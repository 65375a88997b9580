//! The settings name a new address of the store, and SIGHUP says so.

use crate::{nodes, record, store, traffic};
use std::{path::Path, thread, time::Duration};

/// Traffic before the change of the settings.
const BEFORE: Duration = Duration::from_secs(5);
/// Time from SIGHUP to the next version: longer than `contact_ms` (4 s).
const SETTLED: Duration = Duration::from_secs(8);
/// Traffic after that version.
const AFTER: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(200);

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = record::Record::new();
    let result = play(&record, trouble);
    record.finish(folder, "CONFIG", &result)?;
    result
}

fn play(record: &record::Record, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let (first, first_address) = store::Store::start().map_err(text)?;
    let (second, second_address) = store::Store::start().map_err(text)?;
    let mut versions = vec![traffic::set_version(&first, record, (7, 0), 0)];
    let replicas = traffic::start_replicas(&[first.clone(), second.clone()], record)?;
    let places = nodes::places(&["antioquia-a", "antioquia-b"]).map_err(text)?;
    let nodes = nodes::start(&places, first_address).map_err(text)?;
    record.add("all nodes are ready");
    let consumers: Vec<_> = nodes
        .iter()
        .map(|node| {
            let place = &node.place;
            traffic::Consumers::start(place.front, &place.name, 2, PAUSE, record)
        })
        .collect();
    thread::sleep(BEFORE);
    let current = if trouble {
        second.copy_from(&first);
        for node in &nodes {
            node.set_settings(&places, second_address).map_err(text)?;
            node.signal("HUP").map_err(text)?;
        }
        record.add(&format!("settings name the store at {second_address}; SIGHUP; the old one ends"));
        first.stop();
        &second
    } else {
        &first
    };
    thread::sleep(SETTLED);
    versions.push(traffic::set_version(current, record, (12, 1), 0));
    thread::sleep(AFTER);
    let sent: Vec<_> = consumers.into_iter().flat_map(traffic::Consumers::stop).collect();
    drop(nodes);
    let stale = traffic::count_stale(&versions, &sent, &replicas, record);
    let served = sent.iter().filter(|one| one.status == 200).count();
    record.add(&format!("{} sent, {served} served, {stale} by a version that is gone", sent.len()));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(stale == 0)
}
