//! Requests whose answer is a stream of events.
//!
//! Only whole events are passed on. Where the route allows it, a stream that breaks off goes on at
//! another endpoint behind the last event passed on, within the answer that has begun.

use super::{
    attempt_log, attempt_send, call_plan, produced_chunks, region_choice, stage_run, state,
};
use crate::transport::{failure, http_client, http_message};
use comfreyspread_policy::{attempt, endpoint_directory, event_buffer};
use comfreyspread_schema::types;
use futures_lite::io;
use std::{sync, time};

/// Longest event in bytes.
const EVENT_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Pauses on time that a stream may take before it is taken to another endpoint.
const STALL_PAUSES: u32 = 3;
/// Shortest silence after which a stream is taken to another endpoint.
const LEAST_STALL: time::Duration = time::Duration::from_millis(1000);

/// Runs a request until its answer has begun; the answer's body goes on by itself.
///
/// # Errors
///
/// Fails if no endpoint has begun an answer; the verdict says whether one may have run it.
pub async fn run(
    state: &sync::Arc<state::GatewayState>,
    plan: call_plan::CallPlan,
) -> Result<http_message::Response, failure::CallFailure> {
    let region = region_choice::choose(state, &plan).ok_or_else(|| {
        let detail = "no region has endpoints for all parts of the request";
        call_plan::CallPlan::not_run(types::ProblemKind::Unavailable, detail)
    })?;
    let stages = stage_run::StageResults::new(state, &plan, region);
    let resumed = plan.call.resume_after;
    let mut run = StreamRun {
        state: state.clone(),
        stages,
        log: attempt_log::AttemptLog::new(),
        passed: resumed,
        plan,
    };
    let answer = run.begin().await?;
    if !answer.response.status().is_success() {
        return whole(&run.plan, answer).await;
    }
    let mut response = attempt_send::passed_on(&answer.response, bytes::Bytes::new());
    response.set_body(produced_chunks::ProducedChunks::body(|sender| run.pass_on(answer, sender)));
    Ok(response)
}

/// Reads an answer that is not a stream.
async fn whole(
    plan: &call_plan::CallPlan,
    mut answer: attempt_send::AttemptAnswer,
) -> Result<http_message::Response, failure::CallFailure> {
    let read = attempt_send::read_body(plan, &mut answer.response).await;
    answer.open.end(endpoint_directory::AttemptOutcome::Failed);
    Ok(attempt_send::passed_on(&answer.response, read?))
}

/// A streamed request and its attempts.
struct StreamRun {
    state: sync::Arc<state::GatewayState>,
    plan: call_plan::CallPlan,
    stages: stage_run::StageResults,
    log: attempt_log::AttemptLog,
    passed: Option<u64>,
}

impl StreamRun {
    /// Makes attempts until an endpoint begins an answer.
    async fn begin(&mut self) -> Result<attempt_send::AttemptAnswer, failure::CallFailure> {
        loop {
            self.stages.make(&self.plan).await?;
            let failed = match self.attempt().await {
                Ok(answer) => {
                    self.log.note_begun(&answer.open.chosen.endpoint);
                    return Ok(answer);
                }
                Err(failed) => failed,
            };
            if !self.goes_on(&failed)? {
                let verdict = self.log.verdict();
                return Err(failed.failure.with_verdict(verdict));
            }
        }
    }

    async fn attempt(
        &mut self,
    ) -> Result<attempt_send::AttemptAnswer, attempt_send::FailedAttempt> {
        let number = self.log.next_number();
        let inputs = self.stages.outputs();
        let input = attempt_send::AttemptInput {
            tried: self.log.tried(),
            home: self.stages.region(),
            regions: self.plan.regions.as_deref(),
            inputs: &inputs,
            resume_after: self.passed,
            number,
        };
        let planned = attempt::CallAttempt::new(number);
        attempt_send::send(&self.state, &self.plan, planned, &input).await
    }

    /// Takes in a failed attempt and returns whether another one is made.
    fn goes_on(
        &mut self,
        failed: &attempt_send::FailedAttempt,
    ) -> Result<bool, failure::CallFailure> {
        self.log.note_verdict(failed);
        if failed.inputs_gone {
            self.stages.lose_outputs()?;
            return Ok(self.plan.takes_repeat(&self.state));
        }
        Ok(self.log.goes_on(&self.state, &self.plan, failed))
    }

    /// Passes the events of an answer on, and those of further attempts where that is allowed.
    async fn pass_on(
        mut self,
        first: attempt_send::AttemptAnswer,
        sender: produced_chunks::ChunkSender,
    ) -> io::Result<()> {
        let mut answer = first;
        loop {
            let Err(cut) = self.pass_attempt(&mut answer, &sender).await else {
                answer.open.end(endpoint_directory::AttemptOutcome::Served);
                self.plan.note_served(&self.state);
                log::info!(request = self.plan.call.request.as_ref(),
                    route = self.plan.route.name.as_ref(),
                    endpoint = answer.open.chosen.endpoint.as_ref(), runs = self.log.runs(),
                    took_ms = self.plan.arrived.elapsed().as_millis() as u64;
                    "stream: served");
                return Ok(());
            };
            answer.open.end(endpoint_directory::AttemptOutcome::Failed);
            self.plan.note_break(&self.state, answer.open.chosen.address);
            log::info!(request = self.plan.call.request.as_ref(),
                endpoint = answer.open.chosen.endpoint.as_ref(), passed = self.passed,
                runs = self.log.runs(); "stream: broke off. error={cut}");
            drop(answer);
            if !self.log.may_repeat(&self.state, &self.plan) {
                return Err(cut);
            }
            answer = self.begin().await.map_err(io::Error::other)?;
            if !answer.response.status().is_success() {
                return Err(cut);
            }
        }
    }

    /// Passes on the events of one attempt.
    async fn pass_attempt(
        &mut self,
        answer: &mut attempt_send::AttemptAnswer,
        sender: &produced_chunks::ChunkSender,
    ) -> io::Result<()> {
        let mut body = answer.response.take_body();
        let mut buffer = event_buffer::EventBuffer::default();
        loop {
            let moment = self.stall_moment().min(self.plan.deadline);
            let Some(chunk) = http_client::with_deadline(moment, body.next_chunk()).await else {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "no event for too long"));
            };
            let Some(chunk) = chunk else { break };
            buffer.push(&chunk?);
            if buffer.len() > EVENT_LIMIT_BYTES {
                return Err(io::Error::other("an event is too long"));
            }
            let events = buffer.take_events();
            if !events.is_empty() {
                self.stages.free();
            }
            let passed = self.passed_bytes(events);
            if !passed.is_empty() && sender.send(Ok(passed.into())).await.is_err() {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
        }
        if buffer.is_empty() {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the stream ends within an event"))
    }

    /// Returns the bytes of the events that have not been passed on yet.
    fn passed_bytes(&mut self, events: Vec<event_buffer::CompleteEvent>) -> Vec<u8> {
        let mut bytes = Vec::new();
        for event in events {
            let known = match (event.id, self.passed) {
                (Some(id), Some(passed)) => id <= passed,
                _ => false,
            };
            if !known {
                self.passed = event.id.or(self.passed);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        bytes
    }

    /// Returns the moment until which silence is borne; a stream that cannot go on elsewhere has
    /// until its deadline.
    fn stall_moment(&self) -> time::Instant {
        if !self.plan.is_repeatable() || self.log.runs() >= self.plan.route.attempts {
            return self.plan.deadline;
        }
        let pause = (self.plan.route.gap * STALL_PAUSES).max(LEAST_STALL);
        time::Instant::now() + pause
    }
}
