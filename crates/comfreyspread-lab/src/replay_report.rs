//! Text output of the report of a replay.

use crate::types;

const PERCENT: f64 = 100.0;

/// Prints a report to standard output.
pub fn print(report: &types::ReplayReport) {
    let fault = report.fault.as_deref().unwrap_or("none");
    println!(
        "{} at load {}, seed {}, fault {fault}, nodes of {}",
        report.deployment, report.load, report.seed, report.program
    );
    print_groups(&report.groups);
    println!(
        "goodput {:.1}/s, sent again by callers {}, dip {:?}",
        report.goodput, report.caller_retries, report.dip
    );
    print_quantiles("first token", &report.first_token);
    print_quantiles("between tokens", &report.between_tokens);
    print_stages(&report.stages);
    for link in &report.links {
        println!("link {} to {}: {} KiB", link.from, link.to, link.bytes / 1024);
    }
    println!("store: {} reads, {} writes", report.store.reads, report.store.writes);
    print_nodes(&report.nodes);
    print_invariants(&report.invariants);
    for missed in &report.missed_targets {
        println!("MISSED: {missed}");
    }
    if report.missed_targets.is_empty() {
        println!("all stated outcomes reached");
    }
}

fn print_groups(groups: &[types::GroupReport]) {
    println!(
        "{:<10} {:<16} {:>8} {:>9} {:>6} {:>8} {:>8} {:>6} {:>8} {:>8} {:>8}",
        "group",
        "",
        "requests",
        "in time",
        "late",
        "not-run",
        "may-have",
        "wrong",
        "p50 ms",
        "p95 ms",
        "p99 ms"
    );
    for group in groups {
        let on_time_percent = PERCENT * group.on_time as f64 / group.requests.max(1) as f64;
        println!(
            "{:<10} {:<16} {:>8} {on_time_percent:>8.2}% {:>6} {:>8} {:>8} {:>6} {:>8.1} {:>8.1} {:>8.1}",
            group.kind,
            group.name,
            group.requests,
            group.late,
            group.not_run,
            group.may_have_run,
            group.incorrect,
            group.times.p50,
            group.times.p95,
            group.times.p99
        );
    }
}

fn print_quantiles(name: &str, quantiles: &types::QuantileReport) {
    if quantiles.count > 0 {
        println!(
            "{name}: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms of {}",
            quantiles.p50, quantiles.p95, quantiles.p99, quantiles.count
        );
    }
}

fn print_stages(stages: &[types::StageReport]) {
    for stage in stages {
        println!(
            "pool {:<14} {:>7} calls, {:>6} retries, cost {}",
            stage.pool, stage.calls, stage.retries, stage.cost
        );
    }
}

fn print_nodes(nodes: &[types::NodeReport]) {
    let cores: f64 = nodes.iter().map(|node| node.core).sum();
    let max_memory = nodes.iter().map(|node| node.memory_kb).max().unwrap_or(0);
    println!("nodes: {cores:.2} cores in all, at most {max_memory} KiB each");
}

fn print_invariants(invariants: &types::InvariantReport) {
    println!(
        "runs per key at most {}, doubled {}, lost {}, cut {}, mixed up {}, untrue refusals {}",
        invariants.runs_per_key,
        invariants.duplicate_runs,
        invariants.lost_runs,
        invariants.truncated_answers,
        invariants.misrouted_answers,
        invariants.false_not_run
    );
    println!(
        "calls to the zone out {}, beyond a cold limit {} (by {}), beyond a warm limit {}",
        invariants.disabled_zone_calls,
        invariants.cold_calls_over,
        invariants.max_cold_excess,
        invariants.warm_calls_over
    );
}
