//! A worker's interface over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use reqwest::Client;
use reqwest::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::external::worker::AttemptKey;
use crate::external::worker::TaskStart;
use crate::external::worker::WorkerControl;
use crate::external::worker::WorkerError;
use crate::external::worker::WorkerStatus;

/// Longest wait for a worker's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Body of a renewal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewalBody {
    /// Attempts to renew.
    pub keys: Vec<AttemptKey>,
    /// New end of their leases on the worker's clock, in milliseconds.
    pub until_millis: u64,
}

/// Body of a throttling.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ThrottleBody {
    /// The attempt.
    pub key: AttemptKey,
    /// Share of its processors that it keeps, in percent.
    pub percent: u32,
}

/// A client of one worker.
#[derive(Clone, Debug)]
pub struct HttpWorker {
    client: Client,
    base: String,
}

impl HttpWorker {
    /// Makes a client for the worker at `address`, an IP address with a port.
    ///
    /// ```
    /// use greengagearch::external::http_worker::HttpWorker;
    ///
    /// let worker = HttpWorker::open("127.0.0.1:7100");
    /// ```
    pub fn open(address: &str) -> HttpWorker {
        let builder = Client::builder().timeout(ANSWER_TIMEOUT).no_proxy();
        HttpWorker {
            client: builder.build().unwrap_or_default(),
            base: format!("http://{address}"),
        }
    }

    async fn post<T: Serialize>(&self, action: &str, body: &T) -> Result<(), WorkerError> {
        let url = format!("{}/{action}", self.base);
        let answer = self.client.post(url).json(body).send().await;
        let answer = answer.map_err(|_| WorkerError::Unreachable)?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => {
                let reason = answer.text().await.unwrap_or_default();
                Err(WorkerError::Refused { reason })
            }
            _ => Err(WorkerError::Unreachable),
        }
    }
}

#[async_trait]
impl WorkerControl for HttpWorker {
    async fn status(&self) -> Result<WorkerStatus, WorkerError> {
        let url = format!("{}/status", self.base);
        let answer = self.client.get(url).send().await;
        let answer = answer.and_then(reqwest::Response::error_for_status);
        let answer = answer.map_err(|_| WorkerError::Unreachable)?;
        answer.json().await.map_err(|_| WorkerError::Unreachable)
    }

    async fn start(&self, start: TaskStart) -> Result<(), WorkerError> {
        self.post("start", &start).await
    }

    async fn renew(&self, keys: Vec<AttemptKey>, until_millis: u64) -> Result<(), WorkerError> {
        self.post("renew", &RenewalBody { keys, until_millis }).await
    }

    async fn throttle(&self, key: AttemptKey, percent: u32) -> Result<(), WorkerError> {
        self.post("throttle", &ThrottleBody { key, percent }).await
    }

    async fn stop(&self, key: AttemptKey) -> Result<(), WorkerError> {
        self.post("stop", &key).await
    }

    async fn forget(&self, keys: Vec<AttemptKey>) -> Result<(), WorkerError> {
        self.post("forget", &keys).await
    }
}
