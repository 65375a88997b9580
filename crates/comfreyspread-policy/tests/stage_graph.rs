//! Order and inputs of the stages of one request.

use comfreyspread_policy::{stage_graph, stage_order};
use comfreyspread_schema::{ids, types};
use rand::{Rng as _, SeedableRng as _, rngs, seq::SliceRandom as _};
use std::time;

const STAGE_TIME: time::Duration = time::Duration::from_millis(300);

fn rule(depends_on: &[u32]) -> types::StageRule {
    types::StageRule { depends_on: depends_on.to_vec(), result_bytes: 1, service: "s".into() }
}

fn graph(rules: &[types::StageRule], pieces: &[u32]) -> stage_graph::StageGraph {
    stage_graph::StageGraph::new(rules, pieces, |_, _| STAGE_TIME).expect("stages in order")
}

fn order_error(rules: &[types::StageRule]) -> Option<stage_order::OrderError> {
    stage_graph::StageGraph::new(rules, &[], |_, _| STAGE_TIME).err()
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

/// Guards against a stage that runs without its inputs because it follows one of a higher number.
#[test]
fn later_dependency() {
    let rules = [rule(&[2]), rule(&[]), rule(&[1])];
    let mut graph = graph(&rules, &[1, 1, 1]);
    assert_eq!(graph.expected_time(), STAGE_TIME * 3);
    assert_eq!(graph.remaining_after(1), STAGE_TIME * 2);
    for (stage, name) in [(1, "first"), (2, "second"), (0, "third")] {
        assert_eq!(graph.start_ready(), [stage]);
        graph.finish(stage, handles(name));
    }
    assert_eq!(graph.inputs(2), handles("first"));
    assert_eq!(graph.inputs(0), handles("second"));
    assert_eq!(graph.outputs(), handles("third"));
}

/// Guards against stages of any listed order that run without all of their inputs.
#[test]
fn shuffled_stages() {
    let mut random = rngs::SmallRng::seed_from_u64(1);
    for _ in 0..500 {
        let count = random.random_range(1..8);
        let mut numbers: Vec<u32> = (0..count).collect();
        numbers.shuffle(&mut random);
        let mut rules = vec![rule(&[]); numbers.len()];
        for (position, number) in numbers.iter().enumerate() {
            let before = numbers[..position].iter().copied();
            let before: Vec<_> = before.filter(|_| random.random_bool(0.4)).collect();
            rules[*number as usize] = rule(&before);
        }
        run_to_end(&rules);
    }
}

fn run_to_end(rules: &[types::StageRule]) {
    let mut graph = graph(rules, &vec![1; rules.len()]);
    while !graph.is_complete() {
        let ready = graph.start_ready();
        assert!(!ready.is_empty(), "no stage starts: {rules:?}");
        for stage in ready {
            let mut inputs = graph.inputs(stage);
            inputs.sort_unstable();
            let mut needed: Vec<ids::ResultHandle> =
                rules[stage].depends_on.iter().map(|number| number.to_string().into()).collect();
            needed.sort_unstable();
            assert_eq!(inputs, needed, "{rules:?}");
            graph.finish(stage, handles(&stage.to_string()));
        }
    }
}

/// Guards against a result that is named twice among the inputs of a piece.
#[test]
fn repeated_dependency() {
    let mut graph = graph(&[rule(&[]), rule(&[0, 0])], &[1, 1]);
    graph.start_ready();
    graph.finish(0, handles("a"));
    assert_eq!(graph.inputs(1), handles("a"));
}

/// Guards against stages that are run as if they had no dependencies, because these don't fit.
#[test]
fn invalid_stages() {
    use stage_order::OrderError as Error;
    let unknown = Error::Unknown { stage: 1, dependency: 2 };
    assert_eq!(order_error(&[rule(&[]), rule(&[0, 2])]), Some(unknown));
    let unknown = Error::Unknown { stage: 0, dependency: u32::MAX };
    assert_eq!(order_error(&[rule(&[u32::MAX])]), Some(unknown));
    assert_eq!(order_error(&[rule(&[0])]), Some(Error::Cyclic { stage: 0 }));
    let cycle = [rule(&[]), rule(&[2]), rule(&[1])];
    assert_eq!(order_error(&cycle), Some(Error::Cyclic { stage: 1 }));
}

/// Guards against time that doubles with each stage, where many stages depend on all before them.
#[test]
fn dense_stages() {
    let rules: Vec<_> = (0..60).map(|stage| rule(&(0..stage).collect::<Vec<_>>())).collect();
    let graph = graph(&rules, &[1; 60]);
    assert_eq!(graph.expected_time(), STAGE_TIME * 60);
}
