//! Stand-in of the clients and of the platform's forwarding to the front machines.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::record::EventRecord;

const DEADLINE: Duration = Duration::from_millis(3_000);
const ATTEMPTS: usize = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(200);
pub const HOST: &str = "jobs.example";

/// Clients, whose retries reach other front machines.
#[derive(Clone)]
pub struct JobClient {
    fronts: Vec<SocketAddr>,
    http: reqwest::Client,
    record: EventRecord,
}

impl JobClient {
    pub fn open(fronts: Vec<SocketAddr>, record: EventRecord) -> JobClient {
        let http = reqwest::Client::builder().no_proxy().build().expect("a client");
        JobClient { fronts, http, record }
    }

    /// Hands a job in. Returns whether it was accepted.
    pub async fn submit(&self, path: &str, body: &Value, first: usize) -> bool {
        for attempt in 0..ATTEMPTS {
            let front = self.fronts[(first + attempt) % self.fronts.len()];
            let call = self.http.post(format!("http://{front}{path}")).json(body);
            let status = self.send(call).await.map_or(0, |answer| answer.0);
            self.record.write(&format!("POST {path} at {front}: {}", word(status)));
            match status {
                200..300 => return true,
                400..500 if status != 429 => return false,
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        false
    }

    /// Asks for the state of a job. Returns the status and the state.
    pub async fn state(&self, path: &str, first: usize) -> (u16, String) {
        for attempt in 0..ATTEMPTS {
            let front = self.fronts[(first + attempt) % self.fronts.len()];
            let call = self.http.get(format!("http://{front}{path}"));
            let Some((status, body)) = self.send(call).await else {
                continue;
            };
            if status == 200 || status == 410 {
                let state = body["State"].as_str().unwrap_or("unreadable").to_string();
                self.record.write(&format!("GET {path} at {front}: {status} {state}"));
                return (status, state);
            }
        }
        self.record.write(&format!("GET {path}: no answer"));
        (0, String::new())
    }

    async fn send(&self, call: reqwest::RequestBuilder) -> Option<(u16, Value)> {
        let deadline = DEADLINE.as_millis().to_string();
        let call = call.header("Host", HOST).header("X-Greengagearch-Deadline-Ms", deadline);
        let answer = call.timeout(DEADLINE).send().await.ok()?;
        let status = answer.status().as_u16();
        Some((status, answer.json().await.unwrap_or(Value::Null)))
    }
}

fn word(status: u16) -> String {
    if status == 0 { "no answer".to_string() } else { status.to_string() }
}
