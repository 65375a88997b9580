//! What was sent, answered and run, with the time since the start; written to `record.txt`.

use std::{
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines of the record, shared by all stand-ins.
#[derive(Clone, Debug)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut lines) = self.lines.lock() {
            lines.push(format!("{at:8.3} {line}"));
        }
    }

    /// Adds and prints whether `rule` held, and writes the record.
    pub fn finish(
        &self,
        folder: &Path,
        rule: &str,
        result: &Result<bool, String>,
    ) -> Result<(), String> {
        let verdict = match result {
            Ok(true) => format!("{rule} held"),
            Ok(false) => format!("{rule} is broken"),
            Err(error) => format!("could not run: {error}"),
        };
        self.add(&verdict);
        println!("{verdict}");
        self.write(folder).map_err(|error| error.to_string())
    }

    /// Writes the record.
    fn write(&self, folder: &Path) -> io::Result<()> {
        let lines = self.lines.lock().map(|lines| lines.join("\n")).unwrap_or_default();
        fs::write(folder.join("record.txt"), lines + "\n")
    }
}
