//! The streamed last stage of a pipeline, resumed elsewhere when its endpoint is lost.

use crate::{
    ingress::{call_run, dispatch, frames, pipeline, plan},
    transport::failure,
};
use comfreyspread_policy::stream;
use comfreyspread_schema::{ids, types};
use std::time;

/// A streamed answer over all of its attempts.
#[derive(Debug)]
pub struct StreamRun {
    ledger: plan::RequestLedger,
    run: call_run::CallRun,
    cursor: stream::StreamCursor,
    source: Option<dispatch::OwnerStream>,
    began: time::Instant,
    ran: bool,
}

/// What comes next of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamStep {
    /// A run of tokens.
    Run(types::TokenRun),
    /// The explicit end.
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
            began: time::Instant::now(),
            ran: input.ran,
        }
    }

    /// Returns the attempts and cost so far.
    pub fn ledger(&self) -> &plan::RequestLedger {
        &self.ledger
    }

    /// Returns the next tokens, or the end.
    ///
    /// A stream that was lost is opened again at the offset reached.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts if the stream cannot go on.
    pub async fn next(&mut self) -> Result<StreamStep, failure::CallFailure> {
        let step = self.next_step().await;
        step.map_err(|failure| pipeline::after_stages(failure, self.ran))
    }

    async fn next_step(&mut self) -> Result<StreamStep, failure::CallFailure> {
        loop {
            let failed = match self.next_frame().await? {
                Ok(types::StageFrame::Token { run }) => match self.cursor.accept(&run) {
                    Ok(stream::RunAction::Deliver) => return Ok(StreamStep::Run(run)),
                    Ok(stream::RunAction::Drop) => continue,
                    Err(fault) => (frames::invalid_stream(fault), None),
                },
                Ok(types::StageFrame::Finished { reply, tokens }) => {
                    match self.finish(&reply, tokens) {
                        Ok(end) => return Ok(StreamStep::End(end)),
                        Err(failure) => (failure, reply.endpoint),
                    }
                }
                Err(failure) => (failure, None),
            };
            self.source = None;
            let (failure, endpoint) = failed;
            self.run.recover(&mut self.ledger, failure, endpoint).await?;
        }
    }

    /// Reads a frame, opening a stream first if there is none.
    async fn next_frame(
        &mut self,
    ) -> Result<Result<types::StageFrame, failure::CallFailure>, failure::CallFailure> {
        if self.source.is_none() {
            self.began = time::Instant::now();
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
        self.run.note_served(&self.ledger, reply, self.began);
        Ok(end)
    }
}
