//! The product's own interface for jobs of steps, against the stand-ins of the users' platform.

use std::time::Duration;

use greengagearch::process::planning::job_http::JobRequest;
use greengagearch::process::planning::job_http::JobResponse;
use greengagearch::process::stop_signal::StopSwitch;
use greengagearch_standins::local_platform::LocalPlatform;
use greengagearch_standins::local_platform::example_job;
use reqwest::StatusCode;
use serde_json::json;

/// Bound on every wait for a condition; far beyond what any takes.
const LIMIT: Duration = Duration::from_secs(60);

struct Desk {
    platform: LocalPlatform,
    client: reqwest::Client,
    _switch: StopSwitch,
}

impl Desk {
    async fn open() -> Desk {
        let (switch, stop) = StopSwitch::new();
        let platform = LocalPlatform::spawn(stop).await.unwrap();
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let desk = Desk { platform, client, _switch: switch };
        desk.until(async || desk.pending("logs").await == Some(0)).await;
        desk
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.platform.jobs)
    }

    async fn submit<T: serde::Serialize>(&self, request: &T) -> StatusCode {
        let call = self.client.post(self.url("workflows")).json(request);
        call.send().await.unwrap().status()
    }

    async fn submit_until_accepted(&self, request: &JobRequest) {
        self.until(async || self.submit(request).await == StatusCode::OK).await;
    }

    async fn state(&self, job: &str) -> Option<String> {
        let answer = self.client.get(self.url(&format!("workflows/{job}"))).send().await.unwrap();
        answer.json::<JobResponse>().await.unwrap().state
    }

    async fn pending(&self, queue: &str) -> Option<u64> {
        let answer = self.client.get(self.url(&format!("queues/{queue}"))).send().await.unwrap();
        answer.json::<JobResponse>().await.unwrap().pending
    }

    async fn until(&self, condition: impl AsyncFn() -> bool) {
        let waiting = async {
            while !condition().await {
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
        };
        tokio::time::timeout(LIMIT, waiting).await.expect("the condition comes to hold");
    }

    async fn until_state(&self, job: &str, state: &str) {
        self.until(async || self.state(job).await.as_deref() == Some(state)).await;
    }
}

#[tokio::test]
async fn a_job_of_steps_is_accepted_and_completes() {
    let desk = Desk::open().await;
    let request = example_job("a");
    desk.submit_until_accepted(&request).await;
    assert_eq!(desk.submit(&request).await, StatusCode::OK, "a repeat is the same job");
    desk.until_state("a", "completed").await;
    assert_eq!(desk.platform.journal.records().len(), 4);
    assert_eq!(desk.platform.journal.run_twice(), Vec::<String>::new());
}

#[tokio::test]
async fn steps_are_written_with_the_products_own_names() {
    let desk = Desk::open().await;
    let body = json!({
        "id": "b", "queue": "logs", "payload": "run_ms=20",
        "steps": [
            { "count": 2, "room": { "millicores": 200, "memory_mib": 50 }, "estimate_ms": 20 },
            { "count": 1, "room": { "millicores": 200, "memory_mib": 50 }, "after": [0],
              "required_label": "r1", "max_per_worker": 1, "checkpoints": true },
        ],
    });
    desk.until(async || desk.submit(&body).await == StatusCode::OK).await;
    desk.until_state("b", "completed").await;
}

#[tokio::test]
async fn a_cancelled_job_stays_cancelled() {
    let desk = Desk::open().await;
    let request = JobRequest { payload: "run_ms=60000".to_string(), ..example_job("c") };
    desk.submit_until_accepted(&request).await;
    desk.until_state("c", "running").await;
    let cancelled = desk.client.delete(desk.url("workflows/c")).send().await.unwrap();
    assert_eq!(cancelled.status(), StatusCode::OK);
    desk.until_state("c", "cancelled").await;
}

#[tokio::test]
async fn what_cannot_be_served_is_refused_with_its_reason() {
    let desk = Desk::open().await;
    let unknown = JobRequest { queue: "nowhere".to_string(), ..example_job("d") };
    assert_eq!(desk.submit(&unknown).await, StatusCode::NOT_FOUND);
    let empty = JobRequest { steps: Vec::new(), ..example_job("d") };
    assert_eq!(desk.submit(&empty).await, StatusCode::BAD_REQUEST);
    let nameless = JobRequest { id: String::new(), ..example_job("d") };
    assert_eq!(desk.submit(&nameless).await, StatusCode::BAD_REQUEST);
    let strange = json!({ "id": "d", "queue": "logs", "steps": [], "colour": "red" });
    assert_eq!(desk.submit(&strange).await, StatusCode::UNPROCESSABLE_ENTITY);
    let misspelt = json!({
        "id": "d", "queue": "logs", "colour": "red",
        "steps": [{ "count": 1 }, { "count": 1, "room": { "milicores": 5 }, "max_per_host": 1 }],
    });
    let answer = desk.client.post(desk.url("workflows")).json(&misspelt).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::UNPROCESSABLE_ENTITY);
    let error = answer.json::<JobResponse>().await.unwrap().error.unwrap();
    assert_eq!(error, "unknown: colour, steps.1.max_per_host, steps.1.room.milicores");
    let large = JobRequest { payload: "x".repeat(70_000), ..example_job("d") };
    assert_eq!(desk.submit(&large).await, StatusCode::PAYLOAD_TOO_LARGE);
    desk.submit_until_accepted(&example_job("d")).await;
    let other = JobRequest { payload: "run_ms=5".to_string(), ..example_job("d") };
    assert_eq!(desk.submit(&other).await, StatusCode::CONFLICT);
    assert_eq!(desk.state("nobody").await, None);
    assert_eq!(desk.pending("nowhere").await, None);
}
