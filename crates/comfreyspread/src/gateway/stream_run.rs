//! Runs requests that are answered with a stream of events.
//!
//! Only complete events are forwarded. Where the route allows it, a broken stream is resumed at
//! another endpoint after the last forwarded event, within the same response.

use super::{
    attempt_history, attempt_send, call_plan, produced_chunks, stage_execution, state,
    stream_reader,
};
use crate::transport::{failure, header, http_client, http_message};
use comfreyspread_policy::{attempt, endpoint_directory, event_buffer};
use comfreyspread_schema::ids;
use futures_lite::{FutureExt as _, io};
use std::{mem, pin, sync, time};

/// Multiple of the route's gap without an event after which a stream moves to another endpoint.
const STALL_GAPS: u32 = 3;
/// Time after which an endpoint that has been sent a stalled stream and has not rejected it counts as
/// working on it. Rejections come at once, and two endpoints must not work on one stream for long.
const MAX_OVERLAP: time::Duration = time::Duration::from_millis(250);
/// Minimum time without an event after which a stream moves to another endpoint.
const MIN_STALL_TIMEOUT: time::Duration = time::Duration::from_millis(1000);
/// Multiple of the route's target latency without a first event after which a stream moves to
/// another endpoint: until then an endpoint may be reading a long prompt.
const START_TARGETS: u32 = 2;

/// Runs a request until its response has started; the response body then forwards the events.
///
/// # Errors
///
/// Fails if no endpoint has started a response; the verdict says whether one may have run the
/// request.
pub async fn run(
    state: &sync::Arc<state::GatewayState>,
    plan: call_plan::CallPlan,
) -> Result<http_message::Response, failure::CallFailure> {
    let stages = stage_execution::StageExecution::new(state, &plan)?;
    let resume_after = plan.call.resume_after;
    let mut run = StreamRun {
        state: state.clone(),
        stages,
        history: attempt_history::AttemptHistory::new(),
        last_event: resume_after,
        has_rerun: false,
        plan,
    };
    let started = run.start().await?;
    if !is_stream(&started.response) {
        return read_whole_response(state, &run.plan, started).await;
    }
    let mut response = attempt_send::forwarded_response(&started.response, bytes::Bytes::new());
    response.set_body(produced_chunks::ProducedChunks::body(|sender| run.forward(started, sender)));
    Ok(response)
}

/// Whether a response is a stream of events: a success that states no other media type.
fn is_stream(response: &http_message::Response) -> bool {
    let media_type = response.header("content-type").and_then(|value| value.split(';').next());
    let is_other =
        media_type.is_some_and(|value| !value.trim().eq_ignore_ascii_case(header::EVENT_STREAM));
    response.status().is_success() && !is_other
}

/// Reads a response that is not a stream.
async fn read_whole_response(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    mut started: attempt_send::StartedAttempt,
) -> Result<http_message::Response, failure::CallFailure> {
    let read = attempt_send::read_body(state, plan, &mut started.response).await;
    if read.is_ok() {
        started.active.record_answered();
    }
    started.active.finish(endpoint_directory::AttemptOutcome::Failed);
    Ok(attempt_send::forwarded_response(&started.response, read?))
}

fn no_event_error() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "no event for too long")
}

/// How the forwarding of one attempt ended.
enum ForwardEnd {
    /// The stream is complete.
    Complete,
    /// Another endpoint goes on.
    Moved(Box<attempt_send::StartedAttempt>),
}

/// How a stall of a stream ended.
enum StallEnd {
    /// The endpoint went on, or completed the stream.
    Advanced(Option<stream_reader::EventBatch>),
    /// Another endpoint goes on.
    Moved(Box<attempt_send::StartedAttempt>),
    /// No other endpoint goes on; the endpoint may yet.
    Unmoved,
}

/// What comes first while a silent endpoint and another are waited for.
enum StallEvent {
    /// The silent endpoint went on, ended the stream or broke off.
    Advanced(io::Result<Option<stream_reader::EventBatch>>),
    /// Another endpoint goes on; none if no other may be asked.
    Moved(Option<Box<attempt_send::StartedAttempt>>),
    /// Another endpoint has taken the request and has not begun to answer.
    Overlapped,
}

impl StallEnd {
    fn moved(next: attempt_send::StartedAttempt) -> Self {
        Self::Moved(Box::new(next))
    }
}

/// A streamed request and its attempts.
struct StreamRun {
    state: sync::Arc<state::GatewayState>,
    plan: call_plan::CallPlan,
    stages: stage_execution::StageExecution,
    history: attempt_history::AttemptHistory,
    last_event: Option<u64>,
    /// Whether another attempt was taken from the budget and has not been made.
    has_rerun: bool,
}

impl StreamRun {
    /// Makes attempts until an endpoint starts a response.
    ///
    /// # Errors
    ///
    /// Fails with the combined verdict of all attempts, also if the last failure is one of the
    /// stages, which itself says that the request has not run.
    async fn start(&mut self) -> Result<attempt_send::StartedAttempt, failure::CallFailure> {
        let started = self.attempt_until_started().await;
        started.map_err(|failure| failure.with_verdict(self.history.verdict()))
    }

    async fn attempt_until_started(
        &mut self,
    ) -> Result<attempt_send::StartedAttempt, failure::CallFailure> {
        loop {
            self.stages.run_pending(&self.plan).await?;
            let failed = match self.send_attempt().await {
                Ok(started) => {
                    self.history.record_response(&started.active.chosen.endpoint);
                    return Ok(started);
                }
                Err(failed) => failed,
            };
            let Self { state, plan, stages, history, .. } = self;
            if !history.record_failure(state, plan, Some(stages), &failed)? {
                return Err(failed.failure);
            }
        }
    }

    async fn send_attempt(
        &mut self,
    ) -> Result<attempt_send::StartedAttempt, attempt_send::FailedAttempt> {
        let inputs = self.stages.outputs();
        let regions = self.plan.allowed_regions(&self.state);
        let input = self.attempt_input(&inputs, regions.as_deref());
        let planned = attempt::CallAttempt::new(input.number);
        attempt_send::send(&self.state, &self.plan, planned, &input).await
    }

    /// Returns the input of the next attempt.
    fn attempt_input<'input>(
        &'input self,
        inputs: &'input [ids::ResultHandle],
        regions: Option<&'input [ids::RegionId]>,
    ) -> attempt_send::AttemptInput<'input> {
        attempt_send::AttemptInput {
            tried: self.history.tried(),
            second_try: self.history.second_try(&self.plan),
            preferred_region: self.stages.region(),
            regions,
            inputs,
            resume_after: self.last_event,
            number: self.history.next_number(),
        }
    }

    /// Returns whether another endpoint may go on with a stalled stream; if so, a retry is taken
    /// from the budget.
    fn try_acquire_move(&mut self) -> bool {
        let regions = self.plan.allowed_regions(&self.state);
        let input = self.attempt_input(&[], regions.as_deref());
        self.has_rerun = attempt_send::has_endpoint(&self.state, &self.plan, &input)
            && self.history.try_acquire_rerun(&self.state, &self.plan);
        self.has_rerun
    }

    /// Forwards the events of a response, resuming at other endpoints where that is allowed.
    async fn forward(
        mut self,
        first: attempt_send::StartedAttempt,
        sender: produced_chunks::ChunkSender,
    ) -> io::Result<()> {
        let mut started = first;
        loop {
            let error = match self.forward_attempt(&mut started, &sender).await {
                Ok(ForwardEnd::Complete) => break,
                Ok(ForwardEnd::Moved(next)) => {
                    self.record_broken(&mut started, &no_event_error());
                    started = *next;
                    continue;
                }
                Err(error) => error,
            };
            self.record_broken(&mut started, &error);
            drop(started);
            let Some(resumed) = self.resume().await else { return Err(error) };
            started = resumed;
        }
        started.active.finish(endpoint_directory::AttemptOutcome::Served);
        self.plan.record_served(&self.state);
        self.plan.record_duration(&self.state, started.active.elapsed());
        log::info!(request = self.plan.call.request.as_ref(),
            route = self.plan.route.name.as_ref(),
            endpoint = started.active.chosen.endpoint.as_ref(), runs = self.history.runs(),
            took_ms = self.plan.arrived.elapsed().as_millis() as u64;
            "stream: served");
        Ok(())
    }

    /// Records that the stream does not go on at the endpoint of an attempt.
    fn record_broken(&self, started: &mut attempt_send::StartedAttempt, error: &io::Error) {
        started.active.finish(endpoint_directory::AttemptOutcome::Failed);
        let active = &started.active;
        self.plan.detect_crash(&self.state, &active.chosen, active.progress);
        log::info!(request = self.plan.call.request.as_ref(),
            endpoint = started.active.chosen.endpoint.as_ref(), passed = self.last_event,
            runs = self.history.runs(); "stream: broken. error={error}");
    }

    /// Makes attempts until an endpoint continues the broken stream; none if no other attempt may
    /// be made.
    async fn resume(&mut self) -> Option<attempt_send::StartedAttempt> {
        while mem::take(&mut self.has_rerun)
            || self.history.try_acquire_rerun(&self.state, &self.plan)
        {
            let mut started = match self.start().await {
                Ok(started) => started,
                Err(failure) => {
                    log::info!(request = self.plan.call.request.as_ref();
                        "stream: not resumed. error={failure}");
                    return None;
                }
            };
            if is_stream(&started.response) {
                return Some(started);
            }
            log::info!(request = self.plan.call.request.as_ref(),
                endpoint = started.active.chosen.endpoint.as_ref(),
                status = started.response.status().as_u16(); "stream: not resumed");
            started.active.finish(endpoint_directory::AttemptOutcome::Failed);
        }
        None
    }

    /// Forwards the events of one attempt, until they are complete or another endpoint goes on.
    async fn forward_attempt(
        &mut self,
        started: &mut attempt_send::StartedAttempt,
        sender: &produced_chunks::ChunkSender,
    ) -> io::Result<ForwardEnd> {
        let mut reader = stream_reader::StreamReader::new(&mut started.response);
        let mut progressed_at = time::Instant::now();
        loop {
            let wait_until =
                self.stall_deadline(progressed_at, started.active.progress.has_events());
            let wait_until = wait_until.min(self.plan.deadline);
            let batch = match http_client::with_deadline(wait_until, reader.next_batch()).await {
                Some(batch) => batch?,
                None if time::Instant::now() >= self.plan.deadline => return Err(no_event_error()),
                None => match self.move_stalled(&mut reader).await? {
                    StallEnd::Advanced(batch) => batch,
                    StallEnd::Moved(next) => return Ok(ForwardEnd::Moved(next)),
                    StallEnd::Unmoved => {
                        progressed_at = time::Instant::now();
                        continue;
                    }
                },
            };
            let Some(batch) = batch else { return Ok(ForwardEnd::Complete) };
            if batch.advanced {
                progressed_at = time::Instant::now();
                self.record_event(&mut started.active, progressed_at);
                self.stages.release_all();
            }
            let bytes = self.new_event_bytes(batch.events);
            if !bytes.is_empty() {
                let bytes = self.state.client.memory().hold_bytes(bytes);
                if sender.send(Ok(bytes)).await.is_err() {
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
            }
            if batch.has_second_head {
                let detail = "another response follows within the stream";
                return Err(io::Error::new(io::ErrorKind::InvalidData, detail));
            }
        }
    }

    /// Asks other endpoints to go on with a stalled stream, if that is allowed.
    ///
    /// The silent endpoint may be sound and go on, so it is left only once another has begun to
    /// answer or seems to work on the request; whichever comes first goes on.
    ///
    /// # Errors
    ///
    /// Fails if the silent endpoint breaks off or was left, and no other goes on.
    async fn move_stalled(
        &mut self,
        reader: &mut stream_reader::StreamReader,
    ) -> io::Result<StallEnd> {
        if !self.try_acquire_move() {
            return Ok(StallEnd::Unmoved);
        }
        let sent = self.plan.sent.listen();
        let end = {
            let mut resumed = pin::pin!(self.resume());
            let advanced = async { StallEvent::Advanced(reader.next_advance().await) };
            let moved = async { StallEvent::Moved(resumed.as_mut().await.map(Box::new)) };
            let overlapped = async {
                sent.await;
                async_io::Timer::after(MAX_OVERLAP).await;
                StallEvent::Overlapped
            };
            match advanced.or(moved).or(overlapped).await {
                StallEvent::Advanced(Ok(batch)) => StallEnd::Advanced(batch),
                StallEvent::Advanced(Err(error)) => {
                    reader.close();
                    StallEnd::moved(resumed.await.ok_or(error)?)
                }
                StallEvent::Moved(next) => next.map_or(StallEnd::Unmoved, StallEnd::Moved),
                StallEvent::Overlapped => {
                    reader.close();
                    StallEnd::moved(resumed.await.ok_or_else(no_event_error)?)
                }
            }
        };
        if matches!(end, StallEnd::Advanced(_)) {
            self.abandon_move();
        }
        Ok(end)
    }

    /// Records that a move was given up; an endpoint may have run the request if its stages were
    /// complete.
    fn abandon_move(&mut self) {
        self.has_rerun = false;
        if self.stages.are_complete() {
            self.history.record_abandoned();
        }
        log::info!(request = self.plan.call.request.as_ref(), runs = self.history.runs();
            "stream: its endpoint goes on");
    }

    /// Records a new event of an attempt.
    fn record_event(&self, active: &mut attempt_send::ActiveAttempt, now: time::Instant) {
        let before = active.progress;
        active.progress.record_event(now);
        if !before.has_events() {
            active.record_first_event();
            self.plan.record_first_event(&self.state);
            self.state.first_events.lock().record(&self.plan.route.name, active.elapsed());
        }
        if active.progress.is_running() && !before.is_running() {
            self.plan.record_run(&self.state);
        }
    }

    /// Returns the bytes of the events that have not been forwarded yet.
    fn new_event_bytes(&mut self, events: Vec<event_buffer::CompleteEvent>) -> Vec<u8> {
        let mut bytes = Vec::new();
        for event in events {
            let forwarded = match (event.id, self.last_event) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if !forwarded {
                self.last_event = event.id.or(self.last_event);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        bytes
    }

    /// Returns the time by which the next event must be complete, the last, or the head of the
    /// response, having been complete at `progressed_at`; the request's deadline if the stream
    /// cannot be resumed elsewhere. Where stages have to run again before another endpoint can go on,
    /// their time is added: within it, the silent endpoint is as likely to go on itself.
    fn stall_deadline(&self, progressed_at: time::Instant, has_events: bool) -> time::Instant {
        let route = &self.plan.route;
        if !self.plan.is_repeatable() || self.history.runs() >= route.max_attempts {
            return self.plan.deadline;
        }
        let timeout = (route.target_event_gap * STALL_GAPS).max(MIN_STALL_TIMEOUT);
        if has_events {
            return progressed_at + timeout + self.stages.pending_time();
        }
        progressed_at + timeout.max(route.target_latency * START_TARGETS)
    }
}
