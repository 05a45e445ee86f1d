//! A caller that sends requests and judges the answers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use reqwest::Client;
use uuid::Uuid;

/// Tries of one request at most.
const MOST_TRIES: usize = 200;
/// Pause before a request is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What a caller got for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAnswer {
    /// Id of the request, its own or the one that the entry made.
    pub id: String,
    /// HTTP status; zero when there was no whole answer.
    pub status: u16,
    /// `answered`, `not_run`, `unknown`, or `broken` when there was no whole answer.
    pub outcome: String,
    /// Body of the answer.
    pub body: String,
    /// When the request was sent.
    pub sent: Instant,
}

impl CallerAnswer {
    /// Whether it is a whole answer to this request.
    pub fn is_own_answer(&self) -> bool {
        self.outcome == "answered" && self.status == 200 && self.body.starts_with(&self.id)
    }
}

impl CallerAnswer {
    /// Whether only nobody acted for the id, so that it should be sent again.
    pub fn is_passing(&self) -> bool {
        self.outcome == "unknown" && self.body.contains("no_owner")
    }
}

/// A caller of services.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    name: String,
}

impl Caller {
    /// A caller with connections of its own.
    pub fn open(name: &str) -> Caller {
        let builder = Client::builder().no_proxy().tcp_nodelay(true);
        Caller { client: builder.build().unwrap_or_default(), name: name.to_string() }
    }

    /// Sends one request; without an id the entry makes one.
    pub async fn send(
        &self,
        entry: SocketAddr,
        service: &str,
        id: Option<Uuid>,
        deadline: Duration,
        body: &str,
    ) -> CallerAnswer {
        let sent = Instant::now();
        let call = self.client.post(format!("http://{entry}/v1/services/{service}/requests"));
        let call = call.header("x-caller", &self.name);
        let mut call = call.header("x-deadline-ms", deadline.as_millis().to_string());
        let own_id = id.map(|id| id.to_string()).unwrap_or_default();
        if !own_id.is_empty() {
            call = call.header("x-request-id", &own_id);
        }
        let broken = |id: String| CallerAnswer {
            id,
            status: 0,
            outcome: "broken".to_string(),
            body: String::new(),
            sent,
        };
        let call = call.timeout(deadline + Duration::from_secs(3)).body(body.to_string());
        let Ok(response) = call.send().await else {
            return broken(own_id);
        };
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let id = if own_id.is_empty() { header("x-request-id") } else { own_id };
        let outcome = header("x-outcome");
        let status = response.status().as_u16();
        match response.text().await {
            Ok(body) => CallerAnswer { id, status, outcome, body, sent },
            Err(_) => broken(id),
        }
    }

    /// Sends one request with an id of its own, and again through the next entry while it was not
    /// run, nobody acted for its id or the connection broke, until it is answered or its fate is
    /// unknown. Gives all answers.
    pub async fn send_until_known(
        &self,
        entries: &[SocketAddr],
        service: &str,
        deadline: Duration,
        body: &str,
    ) -> Vec<CallerAnswer> {
        let id = Uuid::now_v7();
        let mut answers = Vec::new();
        for entry in entries.iter().cycle().take(MOST_TRIES) {
            let answer = self.send(*entry, service, Some(id), deadline, body).await;
            let is_unknown = answer.outcome == "unknown" && !answer.is_passing();
            let is_known = answer.outcome == "answered" || is_unknown;
            answers.push(answer);
            if is_known {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        answers
    }
}
