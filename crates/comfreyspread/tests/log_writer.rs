//! Log lines are dropped and counted rather than waited for.

use comfreyspread::runtime::log_writer;
use std::{io, io::Write as _, sync, sync::mpsc, time};

const PATIENCE: time::Duration = time::Duration::from_secs(5);

/// Passes on what is written, once it may.
struct SlowOutput {
    gate: mpsc::Receiver<()>,
    seen: mpsc::Sender<Vec<u8>>,
}

impl io::Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !bytes.is_empty() {
            self.gate.recv().ok();
            self.seen.send(bytes.to_vec()).ok();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn never_waits() {
    let (open, gate) = mpsc::channel();
    let (seen, lines) = mpsc::channel();
    let writer = log_writer::LogWriter::new(SlowOutput { gate, seen });
    let writer = sync::Mutex::new(writer.expect("a thread"));
    let begun = time::Instant::now();
    let most = u64::from(log_writer::MOST_LINES_PER_S);
    for number in 0..most + 100 {
        let mut writer = writer.lock().expect("no panic");
        writer.write_all(format!("line {number}\n").as_bytes()).expect("taken");
    }
    assert!(begun.elapsed() < time::Duration::from_secs(1), "nobody reads, and nothing waits");
    for _ in 0..most + 100 {
        open.send(()).ok();
    }
    let mut next = 0;
    let mut dropped = 0;
    while next < most || dropped < 100 {
        let line = String::from_utf8(lines.recv_timeout(PATIENCE).expect("a line"));
        let line = line.expect("text");
        // The count may come before the first line: the thread may start when all is sent.
        if let Some(count) = line.strip_prefix("log: lines dropped. count=") {
            dropped += count.trim().parse::<u64>().expect("a number");
        } else {
            assert_eq!(line, format!("line {next}\n"));
            next += 1;
        }
    }
    assert_eq!((next, dropped), (most, 100), "each line is written or counted");
}
