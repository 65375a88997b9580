//! Life cycle of a node: starting, serving, draining, stopped.
//!
//! A node accepts new requests only while serving. Each transition consumes the previous state, so
//! a draining node cannot serve again.

use comfreyspread_schema::types;

/// State of a node that has no configuration yet.
#[derive(Debug)]
pub struct StartingState;

/// State of a node that accepts requests.
#[derive(Debug)]
pub struct ServingState;

/// State of a node that finishes its requests and accepts no new ones.
#[derive(Debug)]
pub struct DrainingState;

/// State of a node that has stopped.
#[derive(Debug)]
pub struct StoppedState;

/// Life cycle of a node in the state `State`.
#[derive(Debug)]
pub struct NodeLifecycle<State> {
    state: State,
}

impl NodeLifecycle<StartingState> {
    /// Creates the life cycle of a node that starts.
    pub fn new() -> Self {
        Self { state: StartingState }
    }

    /// Starts serving, once a configuration is active.
    pub fn serve(self) -> NodeLifecycle<ServingState> {
        NodeLifecycle { state: ServingState }
    }

    /// Lets the requests that are being rejected finish, without ever serving.
    pub fn abandon(self) -> NodeLifecycle<DrainingState> {
        NodeLifecycle { state: DrainingState }
    }
}

impl Default for NodeLifecycle<StartingState> {
    fn default() -> Self {
        Self::new()
    }
}

impl NodeLifecycle<ServingState> {
    /// Rejects new requests and lets those in progress finish.
    pub fn drain(self) -> NodeLifecycle<DrainingState> {
        NodeLifecycle { state: DrainingState }
    }
}

impl NodeLifecycle<DrainingState> {
    /// Stops after the last request has finished or the time limit has passed.
    pub fn stop(self) -> NodeLifecycle<StoppedState> {
        NodeLifecycle { state: StoppedState }
    }
}

/// State with a phase that operators and peers see.
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
