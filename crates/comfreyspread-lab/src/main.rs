//! The `comfreyspread-lab` program: stand-ins, quickstart and reports.
//!
//! Each process of a test deployment runs this program with another subcommand. The subcommand
//! `product` passes the remaining arguments to the command line of comfreyspread itself, as for a
//! node.

use comfreyspread::{operations::command, runtime::worker};
use comfreyspread_lab::{
    bench, claim_bench, configuration_report, endpoints, fleet_bench, platform, quickstart, relay,
    replay, scaling_bench,
};
use miette::IntoDiagnostic as _;
use std::{env, process};

const PRODUCT_COMMAND: &str = "product";
const WORKER_THREADS: usize = 4;

/// Stand-ins, quickstart and reports for comfreyspread.
#[derive(argh::FromArgs)]
struct LabArguments {
    #[argh(subcommand)]
    command: LabCommand,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum LabCommand {
    Bench(bench::BenchArguments),
    ClaimBench(claim_bench::ClaimBenchArguments),
    Configuration(configuration_report::ConfigurationArguments),
    Endpoints(endpoints::EndpointsArguments),
    Platform(platform::PlatformArguments),
    FleetBench(fleet_bench::FleetBenchArguments),
    Quickstart(quickstart::QuickstartArguments),
    Relay(relay::RelayArguments),
    Replay(replay::ReplayArguments),
    ScalingBench(scaling_bench::ScalingBenchArguments),
}

fn main() -> miette::Result<process::ExitCode> {
    let arguments: Vec<String> = env::args().collect();
    if arguments.get(1).is_some_and(|name| name == PRODUCT_COMMAND) {
        let arguments: Vec<_> = arguments[2..].iter().map(String::as_str).collect();
        return Ok(command::run(&arguments));
    }
    let arguments: LabArguments = argh::from_env();
    let pool = worker::WorkerPool::new(WORKER_THREADS).into_diagnostic()?;
    let spawner = pool.spawner();
    let code = async_io::block_on(async {
        match arguments.command {
            LabCommand::ClaimBench(arguments) => arguments.run().await,
            LabCommand::Bench(arguments) => arguments.run(&spawner).await,
            LabCommand::Configuration(arguments) => arguments.run().await,
            LabCommand::Endpoints(arguments) => {
                arguments.run(&spawner).await.map(|()| process::ExitCode::SUCCESS)
            }
            LabCommand::Platform(arguments) => {
                arguments.run(&spawner).await.map(|()| process::ExitCode::SUCCESS)
            }
            LabCommand::FleetBench(arguments) => arguments.run(&spawner).await,
            LabCommand::Quickstart(arguments) => arguments.run(&spawner).await,
            LabCommand::Replay(arguments) => arguments.run(&spawner).await,
            LabCommand::ScalingBench(arguments) => arguments.run(&spawner).await,
            LabCommand::Relay(arguments) => {
                arguments.run(&spawner).await.map(|()| process::ExitCode::SUCCESS)
            }
        }
    });
    pool.stop();
    code
}
