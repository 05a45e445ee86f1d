//! The platform's advice service, as the product's [`AdviceService`].

use std::time::Duration;

use async_trait::async_trait;
use reqwest::StatusCode;
use serde::Deserialize;
use serde_json::json;

use crate::external::advice_service::AdviceAnswer;
use crate::external::advice_service::AdviceService;
use crate::platform::http_client::CallResult;
use crate::platform::http_client::PlatformHttp;
use crate::platform::instance_name::runner_id;
use crate::workflow::advice_cache::AdviceQuery;

/// Time for an answer; the service takes calls of one host in turn, each for some time a worker.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

#[derive(Debug, Deserialize)]
struct WireAdvice {
    /// Rows of a runner's id and its ticket.
    #[serde(rename = "Allowed", default)]
    allowed: Vec<(String, String)>,
    #[serde(rename = "ValidityMs", default)]
    valid_ms: u64,
}

/// HTTP client of the advice service.
#[derive(Debug)]
pub struct AdviceClient {
    http: PlatformHttp,
    url: String,
}

impl AdviceClient {
    /// Opens a client of the service at an address.
    ///
    /// ```
    /// greengagearch::platform::advice_client::AdviceClient::open("10.0.0.1:80");
    /// ```
    pub fn open(address: &str) -> AdviceClient {
        AdviceClient { http: PlatformHttp::open(), url: format!("http://{address}/-/advise") }
    }
}

#[async_trait]
impl AdviceService for AdviceClient {
    async fn advise(&self, question: &AdviceQuery) -> Option<AdviceAnswer> {
        let (job, occurrence, step) = &question.step;
        let runners: Vec<&str> = question.workers.iter().map(|life| runner_id(life)).collect();
        let body = json!({ "Step": format!("{job}.{occurrence}.{step}"), "Workers": runners });
        let request = self.http.client().post(&self.url).json(&body);
        let CallResult::Answer(StatusCode::OK, body) = self.http.send(request, ANSWER_LIMIT).await
        else {
            return None;
        };
        let wire: WireAdvice = serde_json::from_slice(&body).ok()?;
        let life_of = |runner: &str| question.workers.iter().find(|life| runner_id(life) == runner);
        let allowed = wire.allowed.into_iter();
        let allowed = allowed.filter_map(|(runner, text)| Some((life_of(&runner)?.clone(), text)));
        Some((allowed.collect(), Duration::from_millis(wire.valid_ms)))
    }
}
