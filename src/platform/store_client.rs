//! The platform's metadata store, as the product's [`RowStore`].

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::response_timer::ResponseTimer;
use crate::external::row_store::FeedPage;
use crate::external::row_store::RangePage;
use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowStore;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::RowVersion;
use crate::platform::http_client::CallResult;
use crate::platform::http_client::PlatformHttp;
use crate::process::clock;

/// Time beyond the asked wait within which a feed must answer.
const FEED_SLACK: Duration = Duration::from_millis(700);

/// A row on the wire.
#[derive(Debug, Default, Serialize, Deserialize)]
struct WireRow {
    #[serde(rename = "Table", default)]
    table: String,
    #[serde(rename = "part", default)]
    partition: String,
    #[serde(rename = "Key", default)]
    key: String,
    #[serde(rename = "Value", default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(rename = "Ver", default, skip_serializing_if = "Option::is_none")]
    version: Option<RowVersion>,
    #[serde(rename = "Deleted", default, skip_serializing)]
    deleted: bool,
}

impl WireRow {
    fn named(name: &RowName) -> WireRow {
        WireRow {
            table: name.table.clone(),
            partition: name.partition.clone(),
            key: name.key.clone(),
            ..WireRow::default()
        }
    }

    /// Decodes a row. A value of another writer that is not encoded as told becomes an empty one,
    /// which is malformed for every kind of row, so that the other rows of the response hold.
    fn decode(self) -> StoredRow {
        let value = self.value.filter(|_| !self.deleted);
        let value = value.map(|text| STANDARD.decode(text).unwrap_or_default());
        let name = RowName { table: self.table, partition: self.partition, key: self.key };
        StoredRow { name, value, version: self.version.unwrap_or(0) }
    }
}

#[derive(Debug, Serialize)]
struct WireTransaction {
    #[serde(rename = "Expected")]
    expected: Vec<WireRow>,
    #[serde(rename = "Put")]
    puts: Vec<WireRow>,
    #[serde(rename = "Remove")]
    removes: Vec<WireRow>,
}

/// An answer about rows. The version of the store is called like that of a row.
#[derive(Debug, Default, Deserialize)]
struct WireRows {
    #[serde(default)]
    rows: Vec<WireRow>,
    #[serde(rename = "HasMore", default)]
    has_more: bool,
    #[serde(rename = "Ver", default)]
    version: RowVersion,
}

impl WireRows {
    fn decode(self) -> Vec<StoredRow> {
        self.rows.into_iter().map(WireRow::decode).collect()
    }
}

/// A client of the store.
#[derive(Debug)]
pub struct StoreClient {
    http: PlatformHttp,
    base: String,
    /// How long answers take to calls that wait for nothing.
    timer: Mutex<ResponseTimer>,
}

impl StoreClient {
    /// Opens a client of the store at an address.
    ///
    /// ```
    /// greengagearch::platform::store_client::StoreClient::open("10.0.0.1:80");
    /// ```
    pub fn open(address: &str) -> StoreClient {
        StoreClient {
            http: PlatformHttp::open(),
            base: format!("http://{address}/-/"),
            timer: Mutex::default(),
        }
    }

    /// Sends a call that waits for nothing, and learns from the time that its answer takes.
    async fn send_timed(&self, request: RequestBuilder) -> CallResult {
        let limit = self.timer().timeout();
        let sent = clock::now();
        let result = self.http.send(request, limit).await;
        if matches!(
            &result,
            CallResult::Answer(..) | CallResult::Broken(_) | CallResult::NoAnswer(_)
        ) {
            self.timer().record(clock::elapsed(sent));
        }
        result
    }

    fn timer(&self) -> MutexGuard<'_, ResponseTimer> {
        self.timer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reading(&self, call: &str, query: &[(&str, &str)]) -> RequestBuilder {
        self.http.client().get(format!("{}{call}", self.base)).query(query)
    }
}

#[async_trait]
impl RowStore for StoreClient {
    async fn commit(&self, transaction: &RowTransaction) -> Result<RowVersion, RowError> {
        let expected = transaction.expected.iter();
        let puts = transaction.puts.iter();
        let body = WireTransaction {
            expected: expected
                .map(|(name, version)| WireRow { version: Some(*version), ..WireRow::named(name) })
                .collect(),
            puts: puts
                .map(|(name, value)| WireRow {
                    value: Some(STANDARD.encode(value)),
                    ..WireRow::named(name)
                })
                .collect(),
            removes: transaction.removes.iter().map(WireRow::named).collect(),
        };
        let request = self.http.client().post(format!("{}rows-tx", self.base)).json(&body);
        let answer: WireRows = decode(self.send_timed(request).await)?;
        Ok(answer.version)
    }

    async fn range(&self, table: &str, partition: &str, from: &str) -> Result<RangePage, RowError> {
        let mut query = vec![("Table", table), ("part", partition)];
        if !from.is_empty() {
            query.push(("From", from));
        }
        let answer: WireRows = decode(self.send_timed(self.reading("rows-get", &query)).await)?;
        let (has_more, version) = (answer.has_more, answer.version);
        Ok(RangePage { rows: answer.decode(), has_more, version })
    }

    async fn get(&self, name: &RowName) -> Result<Option<StoredRow>, RowError> {
        let query = [
            ("Table", name.table.as_str()),
            ("part", name.partition.as_str()),
            ("From", name.key.as_str()),
            ("Limit", "1"),
        ];
        let answer: WireRows = decode(self.send_timed(self.reading("rows-get", &query)).await)?;
        let rows = answer.decode();
        Ok(rows.into_iter().find(|row| row.name.key == name.key))
    }

    async fn feed(
        &self,
        table: &str,
        after: RowVersion,
        wait: Duration,
    ) -> Result<FeedPage, RowError> {
        let (after, millis) = (after.to_string(), wait.as_millis().to_string());
        let query = [("Table", table), ("After", after.as_str()), ("WaitMs", millis.as_str())];
        let request = self.reading("rows-feed", &query);
        let answer: WireRows = decode(self.http.send(request, wait + FEED_SLACK).await)?;
        let version = answer.version;
        Ok(FeedPage { rows: answer.decode(), version })
    }
}

fn decode<T: DeserializeOwned>(result: CallResult) -> Result<T, RowError> {
    let (status, body) = match result {
        CallResult::Answer(status, body) => (status, body),
        CallResult::Refused => {
            return Err(RowError::Refused { reason: "nobody listens".to_string() });
        }
        CallResult::NotSent(reason) => return Err(RowError::Refused { reason }),
        CallResult::Broken(reason) | CallResult::NoAnswer(reason) => {
            return Err(RowError::Ambiguous { reason });
        }
    };
    match status {
        StatusCode::OK => serde_json::from_slice(&body).map_err(|error| malformed(&error)),
        StatusCode::GONE => Err(RowError::HistoryGone),
        StatusCode::PRECONDITION_FAILED => {
            let answer: WireRows =
                serde_json::from_slice(&body).map_err(|error| malformed(&error))?;
            Err(RowError::Conflict { rows: answer.decode() })
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(RowError::Refused { reason: format!("status {}", status.as_u16()) })
        }
        other => Err(RowError::Malformed { reason: format!("status {}", other.as_u16()) }),
    }
}

fn malformed(error: &dyn std::fmt::Display) -> RowError {
    RowError::Malformed { reason: error.to_string() }
}
