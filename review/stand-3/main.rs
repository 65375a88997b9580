//! Stand-ins for the review cases: the platform's store, replicas, consumers and another writer, all
//! on loopback addresses, and the front nodes of the project as separate processes.
//!
//! Uses the standard library only. The first argument names the case, the second its folder; the third
//! is `calm` if the disruption is left out, else `trouble`.

mod foreign_entry;
mod http;
mod nodes;
mod record;
mod replica;
mod settings;
mod silent_readers;
mod store;
mod traffic;

use std::{env, path::PathBuf, process::ExitCode};

/// Exit code of a case that could not run.
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder, disruption] = arguments.as_slice() else {
        eprintln!("usage: stand CASE FOLDER trouble|calm");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let trouble = match disruption.as_str() {
        "trouble" => true,
        "calm" => false,
        other => {
            eprintln!("neither trouble nor calm: {other}");
            return ExitCode::from(COULD_NOT_RUN);
        }
    };
    let folder = PathBuf::from(folder);
    let result = match case.as_str() {
        "foreign-entry" => foreign_entry::run(&folder, trouble),
        "settings" => settings::run(&folder, trouble),
        "silent-readers" => silent_readers::run(&folder, trouble),
        other => Err(format!("unknown case {other}")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
