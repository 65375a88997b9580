//! The streamed last stage of a pipeline, resumed on another endpoint when its endpoint fails.

use crate::{
    ingress::{call_run, dispatch, frames, pipeline, plan},
    transport::failure,
};
use comfreyspread_policy::stream;
use comfreyspread_schema::{ids, types};
use std::time;

/// A streamed answer, with all of its attempts.
#[derive(Debug)]
pub struct StreamRun {
    ledger: plan::RequestLedger,
    run: call_run::CallRun,
    cursor: stream::StreamCursor,
    source: Option<dispatch::OwnerStream>,
    started: time::Instant,
    earlier_ran: bool,
}

/// Next part of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// Consecutive tokens.
    Tokens(types::TokenChunk),
    /// The end of a complete stream.
    End(types::StreamEnd),
}

impl StreamRun {
    /// Creates a run that has opened no stream.
    pub fn new(input: pipeline::StreamInput) -> Self {
        let stage = &input.stage;
        let run = call_run::CallRun::new(&input.ledger, &stage.pool, &stage.name, input.body);
        Self {
            ledger: input.ledger,
            run: run.with_streaming(),
            cursor: stream::StreamCursor::new(),
            source: None,
            started: time::Instant::now(),
            earlier_ran: input.earlier_ran,
        }
    }

    /// Returns the ledger of attempts and cost.
    pub fn ledger(&self) -> &plan::RequestLedger {
        &self.ledger
    }

    /// Returns the next tokens, or the end.
    ///
    /// A stream that failed is reopened at the offset reached.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts if the stream cannot continue.
    pub async fn next(&mut self) -> Result<StreamEvent, failure::CallFailure> {
        let event = self.next_event().await;
        event.map_err(|failure| pipeline::with_earlier_stages(failure, self.earlier_ran))
    }

    async fn next_event(&mut self) -> Result<StreamEvent, failure::CallFailure> {
        loop {
            let failed = match self.next_frame().await? {
                Ok(types::StageFrame::Token { chunk }) => match self.cursor.accept(&chunk) {
                    Ok(stream::ChunkAction::Deliver) => return Ok(StreamEvent::Tokens(chunk)),
                    Ok(stream::ChunkAction::Drop) => continue,
                    Err(error) => (frames::invalid_stream(error), None),
                },
                Ok(types::StageFrame::Finished { reply, tokens }) => {
                    match self.finish(&reply, tokens) {
                        Ok(end) => return Ok(StreamEvent::End(end)),
                        Err(failure) => (failure, call_run::SentAttempt::new(&reply, self.started)),
                    }
                }
                Err(failure) => (failure, None),
            };
            self.source = None;
            let (failure, sent) = failed;
            self.run.prepare_retry(&mut self.ledger, failure, sent).await?;
        }
    }

    /// Reads a frame, opening a stream first if none is open.
    async fn next_frame(
        &mut self,
    ) -> Result<Result<types::StageFrame, failure::CallFailure>, failure::CallFailure> {
        if self.source.is_none() {
            self.started = time::Instant::now();
            let opened = self.run.open(&mut self.ledger, self.cursor.offset()).await;
            self.source = Some(opened?);
        }
        match &mut self.source {
            Some(source) => Ok(source.next().await),
            None => Ok(Err(frames::receiver_closed())),
        }
    }

    fn finish(
        &mut self,
        reply: &types::StageReply,
        tokens: ids::StreamOffset,
    ) -> Result<types::StreamEnd, failure::CallFailure> {
        failure::CallFailure::from_outcome(reply.outcome.clone())?;
        let end = types::StreamEnd { tokens };
        self.cursor.finish(&end).map_err(frames::invalid_stream)?;
        self.run.record_success(&self.ledger, reply, self.started);
        Ok(end)
    }
}
