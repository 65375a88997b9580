//! The command `explain`: where a request would go now, and why, without sending it.

use crate::operations::{maintenance_commands, operator_client, operator_error};
use comfreyspread_schema::{ids, types};
use std::{fs, process};

const MICROS_PER_MILLI: u64 = 1000;

/// show where a request would go now, and why, without sending it; exit code 0 if it would be sent,
/// 1 if it would be rejected
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArguments {
    /// address of a node's metrics or readiness checks (default: COMFREYSPREAD_OPERATOR_NODE or
    /// 127.0.0.1:8080)
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    node: Option<ids::Text>,
    /// file with the head of the request, as sent: the line METHOD PATH HTTP/1.1, then headers
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    head: Option<ids::Text>,
    /// method, without a file (default: POST)
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    method: Option<ids::Text>,
    /// path, without a file
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    path: Option<ids::Text>,
    /// header as NAME: VALUE, without a file or in addition; may be given several times
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    header: Vec<ids::Text>,
    /// print the explanation as JSON
    #[argh(switch)]
    json: bool,
}

impl ExplainArguments {
    /// Asks the node and prints its explanation.
    ///
    /// # Errors
    ///
    /// Fails if the head cannot be read, or the node does not answer.
    pub async fn run(&self) -> Result<process::ExitCode, operator_error::OperatorError> {
        let head = self.head()?;
        let client = operator_client::OperatorClient::new(self.node.as_deref());
        let explanation = client.explain(&head).await?;
        if self.json {
            maintenance_commands::print_json(&explanation);
        } else {
            print_explanation(&explanation);
        }
        let code =
            if explanation.accepted { operator_error::SUCCESS } else { operator_error::REFUSED };
        Ok(process::ExitCode::from(code))
    }

    fn head(&self) -> Result<String, operator_error::OperatorError> {
        let mut head = match (&self.head, &self.path) {
            (Some(file), _) => fs::read_to_string(&**file).map_err(|error| {
                operator_error::OperatorError::Refused(format!("{file}: {error}").into())
            })?,
            (None, Some(path)) => {
                format!("{} {path} HTTP/1.1\n", self.method.as_deref().unwrap_or("POST"))
            }
            (None, None) => {
                let detail = "give --head FILE or --path PATH";
                return Err(operator_error::OperatorError::Refused(detail.into()));
            }
        };
        for line in &self.header {
            head.push('\n');
            head.push_str(line);
        }
        // Each request has an id, of which nothing here depends.
        if !head.to_ascii_lowercase().contains("\nrequest-id:") {
            head.push_str("\nrequest-id: explain");
        }
        Ok(head)
    }
}

fn print_explanation(explanation: &types::RequestExplanation) {
    let text = |value: &str| if value.is_empty() { "-".to_owned() } else { value.to_owned() };
    println!("node       {}", explanation.node);
    println!("route      {}", text(&explanation.route));
    println!("service    {}", text(&explanation.service));
    println!("workspace  {}, priority {}", text(&explanation.workspace), explanation.priority);
    println!("region     {}", text(&explanation.region));
    for stage in &explanation.stages {
        println!(
            "stage      {} of {}: {} ms, by {}",
            stage.pieces,
            stage.service,
            stage.wait.as_millis(),
            stage.batched_by
        );
    }
    println!("placed by  {}", text(&explanation.placed_by));
    explanation.endpoints.iter().for_each(print_endpoint);
    if explanation.accepted {
        println!(
            "goes to    {}, first event in {} ms",
            explanation.endpoint,
            explanation.first_event.as_millis()
        );
    } else {
        println!(
            "rejected   {}; retry after {} ms",
            explanation.reason,
            explanation.retry_after.as_millis()
        );
    }
}

fn print_endpoint(endpoint: &types::ExplainedEndpoint) {
    let Some(cost) = &endpoint.cost else {
        let state = if endpoint.skipped.is_empty() { "may be chosen" } else { &endpoint.skipped };
        println!(
            "  {:<16} {:<16} {} running here  {state}",
            endpoint.endpoint, endpoint.zone, endpoint.running
        );
        return;
    };
    let millis = |micros: u64| micros / MICROS_PER_MILLI;
    println!(
        "  {:<16} {:<16} {} ms: reading {} ({} tokens held), ahead {}, place {}, stream {}, \
         others {}, distance {}",
        endpoint.endpoint,
        endpoint.zone,
        millis(cost.total_us),
        millis(cost.reading_us),
        cost.cached_tokens,
        millis(cost.ahead_us),
        millis(cost.place_us),
        millis(cost.stream_us),
        millis(cost.others_us),
        millis(cost.distance_us)
    );
}
