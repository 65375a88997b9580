//! Order and inputs of the stages of one request.

use comfreyspread_policy::stage_graph;
use comfreyspread_schema::{ids, types};
use std::time;

const STAGE_TIME: time::Duration = time::Duration::from_millis(300);

fn rule(depends_on: &[u32]) -> types::StageRule {
    types::StageRule { depends_on: depends_on.to_vec(), result_bytes: 1, service: "s".into() }
}

fn graph(rules: &[types::StageRule], pieces: &[u32]) -> stage_graph::StageGraph {
    stage_graph::StageGraph::new(rules, pieces, |_, _| STAGE_TIME)
}

fn handles(name: &str) -> Vec<ids::ResultHandle> {
    vec![name.into()]
}

#[test]
fn chain_in_order() {
    let rules = [rule(&[]), rule(&[0]), rule(&[1])];
    let mut graph = graph(&rules, &[1, 1, 1]);
    assert_eq!(graph.expected_time(), STAGE_TIME * 3);
    assert_eq!(graph.remaining_after(0), STAGE_TIME * 2);
    assert_eq!(graph.start_ready(), [0]);
    assert_eq!(graph.start_ready(), Vec::<usize>::new());
    assert_eq!(graph.finish(0, handles("a")), Vec::<usize>::new());
    assert_eq!(graph.start_ready(), [1]);
    assert_eq!(graph.inputs(1), handles("a"));
    assert_eq!(graph.finish(1, handles("b")), [0], "the first results are no longer needed");
    assert_eq!(graph.start_ready(), [2]);
    graph.finish(2, handles("c"));
    assert!(graph.is_complete());
    assert_eq!(graph.outputs(), handles("c"));
}

#[test]
fn empty_stages() {
    let rules = [rule(&[]), rule(&[0])];
    let mut graph = graph(&rules, &[0, 2]);
    assert_eq!(graph.start_ready(), [1]);
    assert!(graph.inputs(1).is_empty());
    assert!(self::graph(&rules, &[]).is_complete());
}

/// A final stage does not start while its results would only wait for those of a longer chain.
#[test]
fn early_delayed() {
    let rules = [rule(&[]), rule(&[]), rule(&[1]), rule(&[2])];
    let mut graph = graph(&rules, &[1, 1, 1, 1]);
    assert_eq!(graph.start_ready(), [1]);
    graph.finish(1, handles("b"));
    assert_eq!(graph.start_ready(), [2]);
    graph.finish(2, handles("c"));
    assert_eq!(graph.start_ready(), [0, 3]);
}

/// A stage whose results are lost runs again, after its dependencies if their results were released.
#[test]
fn lost_results() {
    let rules = [rule(&[]), rule(&[0]), rule(&[1])];
    let mut graph = graph(&rules, &[1, 1, 1]);
    for (stage, name) in ["a", "b", "c"].iter().enumerate() {
        assert_eq!(graph.start_ready(), [stage]);
        for used in graph.finish(stage, handles(name)) {
            graph.take_results(used);
        }
    }
    graph.invalidate(2);
    assert_eq!(graph.start_ready(), [0], "no stage runs without its inputs");
    graph.finish(0, handles("a2"));
    assert_eq!(graph.start_ready(), [1]);
    assert_eq!(graph.inputs(1), handles("a2"));
}

/// A stage whose run was cancelled never ran again, so that its request could not go on.
#[test]
fn cancelled_run() {
    let mut graph = graph(&[rule(&[]), rule(&[0])], &[2, 1]);
    assert_eq!(graph.start_ready(), [0]);
    assert!(graph.start_ready().is_empty(), "it runs");
    graph.restart_cancelled();
    assert_eq!(graph.start_ready(), [0]);
}

/// Stages whose results had been released counted as complete, so that nothing made them again.
#[test]
fn released_results() {
    let mut graph = graph(&[rule(&[]), rule(&[0]), rule(&[1])], &[2, 1, 0]);
    graph.start_ready();
    graph.finish(0, handles("a"));
    graph.start_ready();
    graph.finish(1, handles("b"));
    assert!(graph.is_complete());
    graph.restart_all();
    assert!(!graph.is_complete());
    assert!(graph.outputs().is_empty());
    assert_eq!(graph.start_ready(), [0]);
    graph.finish(0, handles("c"));
    assert_eq!(graph.start_ready(), [1], "a stage without pieces does not run");
}
