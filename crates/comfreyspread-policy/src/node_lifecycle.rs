//! Life cycle of a node: starting, serving, draining, stopped.
//!
//! A node takes new requests only while serving. Each step consumes the state before it, so a node
//! that drains cannot serve again.

use comfreyspread_schema::types;

/// State of a node that has no configuration yet.
#[derive(Debug)]
pub struct StartingState;

/// State of a node that takes requests.
#[derive(Debug)]
pub struct ServingState;

/// State of a node that finishes its requests and takes no new ones.
#[derive(Debug)]
pub struct DrainingState;

/// State of a node that has finished.
#[derive(Debug)]
pub struct StoppedState;

/// Life of a node in the state `State`.
#[derive(Debug)]
pub struct NodeLifecycle<State> {
    state: State,
}

impl NodeLifecycle<StartingState> {
    /// Starts a life.
    pub fn new() -> Self {
        Self { state: StartingState }
    }

    /// Begins to serve, once a configuration is in force.
    pub fn serve(self) -> NodeLifecycle<ServingState> {
        NodeLifecycle { state: ServingState }
    }

    /// Stops before ever serving.
    pub fn abandon(self) -> NodeLifecycle<StoppedState> {
        NodeLifecycle { state: StoppedState }
    }
}

impl Default for NodeLifecycle<StartingState> {
    fn default() -> Self {
        Self::new()
    }
}

impl NodeLifecycle<ServingState> {
    /// Turns away new requests and lets those in progress finish.
    pub fn drain(self) -> NodeLifecycle<DrainingState> {
        NodeLifecycle { state: DrainingState }
    }
}

impl NodeLifecycle<DrainingState> {
    /// Stops after the last request has finished or the limit has passed.
    pub fn stop(self) -> NodeLifecycle<StoppedState> {
        NodeLifecycle { state: StoppedState }
    }
}

/// Gives the phase that a state is shown as.
pub trait PhaseState {
    /// Phase shown to operators and peers.
    const PHASE: types::NodePhase;
}

impl PhaseState for StartingState {
    const PHASE: types::NodePhase = types::NodePhase::Starting;
}

impl PhaseState for ServingState {
    const PHASE: types::NodePhase = types::NodePhase::Serving;
}

impl PhaseState for DrainingState {
    const PHASE: types::NodePhase = types::NodePhase::Draining;
}

impl PhaseState for StoppedState {
    const PHASE: types::NodePhase = types::NodePhase::Stopped;
}

impl<State> NodeLifecycle<State>
where
    State: PhaseState,
{
    /// Returns the phase shown to operators and peers.
    pub fn phase(&self) -> types::NodePhase {
        let _ = &self.state;
        State::PHASE
    }
}
