//! Child processes of test deployments, and ports for them. Stand-ins and nodes run the lab program
//! with different subcommands.

use comfreyspread::runtime::lock_rank;
use miette::IntoDiagnostic as _;
use std::{env, fs, net, process, sync, time};

const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;
const PORTS_PER_BLOCK: u16 = 50;

static PORT_ALLOCATOR: sync::OnceLock<
    lock_rank::RankedLock<lock_rank::ConnectionRank, PortAllocator>,
> = sync::OnceLock::new();
const EXIT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: process::Child,
}

impl ChildProcess {
    /// Starts `program` with `arguments`.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn new(program: &std::path::Path, arguments: &[&str]) -> miette::Result<Self> {
        Self::start(process::Command::new(program).args(arguments))
    }

    /// Starts `program` with its standard output and standard error appended to a log file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened or the process cannot be started.
    pub fn with_log(
        program: &std::path::Path,
        arguments: &[&str],
        log: &std::path::Path,
    ) -> miette::Result<Self> {
        let file = fs::OpenOptions::new().append(true).create(true).open(log).into_diagnostic()?;
        let output = file.try_clone().into_diagnostic()?;
        Self::start(process::Command::new(program).args(arguments).stdout(output).stderr(file))
    }

    fn start(command: &mut process::Command) -> miette::Result<Self> {
        // Until it has started its program, a child holds all open sockets, also that of a port that
        // is being probed.
        let _no_probe = port_allocator().lock();
        let child = command.stdin(process::Stdio::null()).spawn().into_diagnostic()?;
        Ok(Self { child })
    }

    /// Returns the operating system's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let process_id =
            i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        if let Some(process_id) = process_id {
            rustix::process::kill_process(process_id, signal).ok();
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Waits for the process to exit and returns its exit code; none if a signal ended it or it is
    /// still running after `timeout`.
    pub async fn wait(&mut self, timeout: time::Duration) -> Option<i32> {
        let deadline = time::Instant::now() + timeout;
        while time::Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            async_io::Timer::after(EXIT_POLL_INTERVAL).await;
        }
        None
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of the running executable.
///
/// # Errors
///
/// Fails if the operating system does not report it.
pub fn current_program() -> miette::Result<std::path::PathBuf> {
    env::current_exe().into_diagnostic()
}

/// Returns a loopback address with a port that is free now.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> miette::Result<net::SocketAddr> {
    port_allocator().lock().next_address()
}

fn port_allocator() -> &'static lock_rank::RankedLock<lock_rank::ConnectionRank, PortAllocator> {
    PORT_ALLOCATOR.get_or_init(|| lock_rank::RankedLock::new(PortAllocator::default()))
}

/// Returns `count` loopback addresses with ports that are free now.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_addresses(count: usize) -> miette::Result<Vec<net::SocketAddr>> {
    (0..count).map(|_| free_address()).collect()
}

/// Allocates ports in blocks from below the range of ephemeral ports. The first port of a block
/// stays bound, so that no other lab process on the machine allocates the same block.
#[derive(Debug, Default)]
struct PortAllocator {
    block_guards: Vec<net::TcpListener>,
    next_port: u16,
    end_port: u16,
}

impl PortAllocator {
    fn next_address(&mut self) -> miette::Result<net::SocketAddr> {
        loop {
            if self.next_port >= self.end_port {
                self.reserve_block()?;
            }
            let port = self.next_port;
            self.next_port += 1;
            if let Ok(listener) = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, port)) {
                return listener.local_addr().into_diagnostic();
            }
        }
    }

    fn reserve_block(&mut self) -> miette::Result<()> {
        let block_count = (LAST_PORT - FIRST_PORT) / PORTS_PER_BLOCK;
        let first_block = u16::try_from(process::id() % u32::from(block_count)).unwrap_or(0);
        for offset in 0..block_count {
            let port = FIRST_PORT + (first_block + offset) % block_count * PORTS_PER_BLOCK;
            if let Ok(listener) = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, port)) {
                self.block_guards.push(listener);
                self.next_port = port + 1;
                self.end_port = port + PORTS_PER_BLOCK;
                return Ok(());
            }
        }
        miette::bail!("all ports from {FIRST_PORT} to {LAST_PORT} are taken")
    }
}
