//! The table service over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use reqwest::Client;
use reqwest::StatusCode;

use crate::external::table::TableError;
use crate::external::table::TableRow;
use crate::external::table::TableStore;
use crate::external::table::TableTransaction;
use crate::ids::RowVersion;

/// Longest wait for an answer; a slow service must not hold the caller's other work up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A client of the platform's table service.
#[derive(Clone, Debug)]
pub struct HttpTable {
    client: Client,
    base: String,
}

impl HttpTable {
    /// Makes a client for the service at `address`, an IP address with a port.
    ///
    /// ```
    /// use greengagearch::external::http_table::HttpTable;
    ///
    /// let table = HttpTable::open("127.0.0.1:7000");
    /// ```
    pub fn open(address: &str) -> HttpTable {
        let builder = Client::builder().timeout(ANSWER_TIMEOUT).connect_timeout(CONNECT_TIMEOUT);
        HttpTable {
            client: builder.no_proxy().build().unwrap_or_default(),
            base: format!("http://{address}"),
        }
    }
}

#[async_trait]
impl TableStore for HttpTable {
    async fn get(&self, key: &str) -> Result<Option<TableRow>, TableError> {
        let url = format!("{}/row", self.base);
        let answer = self.client.get(url).query(&[("key", key)]).send().await;
        let answer = answer.and_then(reqwest::Response::error_for_status);
        let answer = answer.map_err(|_| TableError::Unavailable)?;
        answer.json().await.map_err(|_| TableError::Unavailable)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<TableRow>, TableError> {
        let url = format!("{}/rows", self.base);
        let answer = self.client.get(url).query(&[("prefix", prefix)]).send().await;
        let answer = answer.and_then(reqwest::Response::error_for_status);
        let answer = answer.map_err(|_| TableError::Unavailable)?;
        answer.json().await.map_err(|_| TableError::Unavailable)
    }

    async fn commit(&self, transaction: TableTransaction) -> Result<RowVersion, TableError> {
        let url = format!("{}/commit", self.base);
        let answer = match self.client.post(url).json(&transaction).send().await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Err(TableError::Unavailable),
            Err(_) => return Err(TableError::Ambiguous),
        };
        match answer.status() {
            StatusCode::OK => answer.json().await.map_err(|_| TableError::Ambiguous),
            StatusCode::CONFLICT => match answer.text().await {
                Ok(key) => Err(TableError::Conflict { key }),
                Err(_) => Err(TableError::Ambiguous),
            },
            StatusCode::SERVICE_UNAVAILABLE => Err(TableError::Unavailable),
            _ => Err(TableError::Ambiguous),
        }
    }
}
