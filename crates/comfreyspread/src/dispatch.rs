//! Sending one call of a stage or service from the ingress node to the owner of an endpoint.

use crate::{context, failure, owner};
use comfreyspread_schema::types;
use std::{sync, time};

/// Sends `call` to an owner and waits for the whole answer.
///
/// # Errors
///
/// Fails with the verdict of the one attempt made.
pub async fn send(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
) -> Result<types::StageReply, failure::CallFailure> {
    Ok(owner::serve_call(context, call, deadline).await)
}
