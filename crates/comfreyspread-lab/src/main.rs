//! The `comfreyspread-lab` program: stand-ins, quickstart and reports.
//!
//! The lab plays every role of a small deployment, each in a process of its own. For the role of a
//! node it hands over to the product's own command line.

use comfreyspread::{operations::command, runtime::worker};
use comfreyspread_lab::{
    bench, claim_bench, configuration_report, endpoints, fleet_bench, platform, quickstart, relay,
    replay, scaling_bench,
};
use miette::IntoDiagnostic as _;
use std::{env, process};

const PRODUCT_ROLE: &str = "product";
const WORKER_THREADS: usize = 4;

/// Stand-ins, quickstart and reports for comfreyspread.
#[derive(argh::FromArgs)]
struct LabArguments {
    #[argh(subcommand)]
    role: LabRole,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum LabRole {
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
    if arguments.get(1).is_some_and(|role| role == PRODUCT_ROLE) {
        let arguments: Vec<_> = arguments[2..].iter().map(String::as_str).collect();
        return Ok(command::run(&arguments));
    }
    let arguments: LabArguments = argh::from_env();
    let pool = worker::WorkerPool::new(WORKER_THREADS).into_diagnostic()?;
    let spawner = pool.spawner();
    let code = async_io::block_on(async {
        match arguments.role {
            LabRole::ClaimBench(arguments) => arguments.run().await,
            LabRole::Bench(arguments) => arguments.run(&spawner).await,
            LabRole::Configuration(arguments) => arguments.run().await,
            LabRole::Endpoints(arguments) => {
                arguments.run(&spawner).await.map(|()| process::ExitCode::SUCCESS)
            }
            LabRole::Platform(arguments) => {
                arguments.run(&spawner).await.map(|()| process::ExitCode::SUCCESS)
            }
            LabRole::FleetBench(arguments) => arguments.run(&spawner).await,
            LabRole::Quickstart(arguments) => arguments.run(&spawner).await,
            LabRole::Replay(arguments) => arguments.run(&spawner).await,
            LabRole::ScalingBench(arguments) => arguments.run(&spawner).await,
            LabRole::Relay(arguments) => {
                arguments.run(&spawner).await.map(|()| process::ExitCode::SUCCESS)
            }
        }
    });
    pool.stop();
    code
}
