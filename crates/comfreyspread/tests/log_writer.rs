//! The log writer drops and counts lines instead of blocking.

use comfreyspread::runtime::log_writer;
use std::{io, io::Write as _, sync, sync::mpsc, time};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Output that blocks each write until the test permits it.
struct SlowOutput {
    permits: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl io::Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !bytes.is_empty() {
            self.permits.recv().ok();
            self.written.send(bytes.to_vec()).ok();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn nonblocking_write() {
    let (permit, permits) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let writer = log_writer::LogWriter::new(SlowOutput { permits, written });
    let writer = sync::Mutex::new(writer.expect("a thread"));
    let started = time::Instant::now();
    let limit = u64::from(log_writer::MAX_LINES_PER_S);
    for number in 0..limit + 100 {
        let mut writer = writer.lock().expect("no panic");
        writer.write_all(format!("line {number}\n").as_bytes()).expect("the line is accepted");
    }
    assert!(
        started.elapsed() < time::Duration::from_secs(1),
        "the writer does not wait for the output"
    );
    for _ in 0..limit + 100 {
        permit.send(()).ok();
    }
    let mut written_lines = 0;
    let mut dropped = 0;
    while written_lines < limit || dropped < 100 {
        let line = String::from_utf8(lines.recv_timeout(TIMEOUT).expect("a line"));
        let line = line.expect("text");
        // The count may precede the first line: the thread may start after all lines are sent.
        if let Some(count) = line.strip_prefix("log: lines dropped. count=") {
            dropped += count.trim().parse::<u64>().expect("a number");
        } else {
            assert_eq!(line, format!("line {written_lines}\n"));
            written_lines += 1;
        }
    }
    assert_eq!(
        (written_lines, dropped),
        (limit, 100),
        "each line is either written or counted as dropped"
    );
}

/// Guards against state lines lost behind the lines of requests: a handle with its own limit still
/// writes when the other handle's limit is reached.
#[test]
fn own_limit() {
    let (permit, permits) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let mut requests =
        log_writer::LogWriter::new(SlowOutput { permits, written }).expect("a thread");
    let mut state = requests.with_own_limit();
    let limit = u64::from(log_writer::MAX_LINES_PER_S);
    for _ in 0..limit * 2 {
        requests.write_all(b"request\n").expect("the line is accepted");
    }
    state.write_all(b"state\n").expect("the line is accepted");
    for _ in 0..limit * 2 {
        permit.send(()).ok();
    }
    let is_state = |line: &Vec<u8>| line == b"state\n";
    let mut received = std::iter::from_fn(|| lines.recv_timeout(TIMEOUT).ok());
    assert!(received.any(|line| is_state(&line)), "the state line is written");
}
