//! CPU time and memory of a process, read from `/proc`.

use std::{fs, time};

const KIBIBYTES_PER_MEBIBYTE: f64 = 1024.0;
/// `USER_HZ`, the unit of the times in `/proc/PID/stat`, which is 100 on Linux.
const TICKS_PER_SECOND: u64 = 100;
/// Indexes of `utime` and `stime` among the fields after the command name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Resource use of a process at one time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// CPU time since the process started.
    pub cpu_time: time::Duration,
    /// Resident memory in KiB.
    pub memory_kb: u64,
    /// Highest resident memory since the process started, in KiB.
    pub peak_memory_kb: u64,
    sampled_at: time::Instant,
}

impl ProcessUsage {
    /// Reads the usage of a process; none if it has exited.
    pub fn new(process: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let fields: Vec<_> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
        let total_ticks = ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?;
        let cpu_time = time::Duration::from_millis(total_ticks * 1000 / TICKS_PER_SECOND);
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let memory = |name| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        let memory_kb = memory("VmRSS:")?;
        let peak_memory_kb = memory("VmHWM:")?;
        let sampled_at = time::Instant::now();
        Some(Self { cpu_time, memory_kb, peak_memory_kb, sampled_at })
    }

    /// Returns the resident memory in MiB.
    pub fn memory_mib(&self) -> f64 {
        self.memory_kb as f64 / KIBIBYTES_PER_MEBIBYTE
    }

    /// Returns the average number of CPU cores used since `earlier`.
    pub fn cpu_cores_since(&self, earlier: &Self) -> f64 {
        let cpu_time = self.cpu_time.saturating_sub(earlier.cpu_time);
        let elapsed = self.sampled_at.duration_since(earlier.sampled_at);
        cpu_time.as_secs_f64() / elapsed.as_secs_f64().max(f64::EPSILON)
    }
}
