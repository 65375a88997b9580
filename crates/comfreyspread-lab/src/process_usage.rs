//! Processor time and memory of a process, as the system counts them.

use std::{fs, time};

const KIBIBYTES_PER_MEBIBYTE: f64 = 1024.0;
const TICKS_PER_SECOND: u64 = 100;
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// What a process has used at a moment.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Processor time since its start.
    pub cpu_time: time::Duration,
    /// Resident memory in KiB.
    pub memory_kb: u64,
    sampled_at: time::Instant,
}

impl ProcessUsage {
    /// Reads the usage of a process; none if it has ended.
    pub fn new(process: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let fields: Vec<_> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
        let total = ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?;
        let cpu_time = time::Duration::from_millis(total * 1000 / TICKS_PER_SECOND);
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let memory_kb = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(Self { cpu_time, memory_kb, sampled_at: time::Instant::now() })
    }

    /// Returns the resident memory in MiB.
    pub fn memory_mib(&self) -> f64 {
        self.memory_kb as f64 / KIBIBYTES_PER_MEBIBYTE
    }

    /// Returns the share of one core used since `earlier`.
    pub fn cpu_cores_since(&self, earlier: &Self) -> f64 {
        let spent = self.cpu_time.saturating_sub(earlier.cpu_time);
        let passed = self.sampled_at.duration_since(earlier.sampled_at);
        spent.as_secs_f64() / passed.as_secs_f64().max(f64::EPSILON)
    }
}
