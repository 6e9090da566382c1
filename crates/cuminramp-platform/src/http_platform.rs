//! Client for the platform's HTTP and JSON protocol.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminramp_core::Name;
use cuminramp_http::{CallError, CallTimeouts, HttpClient, read_body};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::table::{CommitOutcome, Row, TableStore, Transaction};
use crate::{HostEntry, HostList, ObjectStore, StoreError};
use wire_format::{
    CommitBody, CommitReply, HostBody, HostsReply, ReadBody, RowBody, RowsReply, ScanBody,
};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 30;

/// JSON bodies of the platform's protocol.
pub mod wire_format {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use bytes::Bytes;
    use serde::{Deserialize, Serialize};

    use crate::table::{Condition, Row, Transaction};

    /// A row; its value is encoded in base64.
    #[derive(Debug, Deserialize, Serialize)]
    pub struct RowBody {
        /// Key of the row.
        pub key: String,
        /// Value of the row, in base64.
        pub value: String,
        /// Version of the commit that wrote the row last.
        pub version: u64,
    }

    /// Body of `POST /table/read`.
    #[derive(Debug, Deserialize, Serialize)]
    pub struct ReadBody {
        /// Keys of the rows to read.
        pub keys: Vec<String>,
    }

    /// Body of `POST /table/scan`.
    #[derive(Debug, Deserialize, Serialize)]
    pub struct ScanBody {
        /// Prefix of the keys to return.
        pub prefix: String,
        /// Only keys that sort after this one are returned.
        pub after: String,
        /// Maximum number of rows to return.
        pub limit: usize,
    }

    /// Response to a read or a scan.
    #[derive(Debug, Deserialize, Serialize)]
    pub struct RowsReply {
        /// Rows; `null` for each requested row that does not exist.
        pub rows: Vec<Option<RowBody>>,
    }

    /// Body of `POST /table/commit`.
    #[derive(Debug, Deserialize, Serialize)]
    pub struct CommitBody {
        /// Keys of rows, each with the version that the row must have.
        pub conditions: Vec<(String, u64)>,
        /// Keys of the rows to write, each with its value in base64.
        pub puts: Vec<(String, String)>,
        /// Keys of the rows to delete.
        pub deletes: Vec<String>,
    }

    /// Response to `POST /table/commit`.
    #[derive(Debug, Deserialize, Serialize)]
    pub struct CommitReply {
        /// Version at which the transaction took effect; `None` if it conflicted.
        pub version: Option<u64>,
        /// Keys of the rows that had other versions than required.
        pub conflicts: Vec<String>,
    }

    /// Entry of the host list, and body of `PUT /hosts`.
    #[derive(Debug, Deserialize, Serialize)]
    pub struct HostBody {
        /// Address on which the host's daemon listens for other daemons, `ip:port`.
        pub address: String,
        /// Whether the host is about to be removed.
        pub leaving: bool,
    }

    /// Response to `GET /hosts`.
    #[derive(Debug, Deserialize, Serialize)]
    pub struct HostsReply {
        /// All hosts of the list.
        pub hosts: Vec<HostBody>,
    }

    impl RowBody {
        /// Encodes a row.
        pub fn from_row(row: &Row) -> Self {
            RowBody {
                key: row.key.clone(),
                value: STANDARD.encode(&row.value),
                version: row.version,
            }
        }

        /// Decodes the row; returns `None` if the value is not valid base64.
        pub fn into_row(self) -> Option<Row> {
            let value = STANDARD.decode(self.value).ok()?;
            Some(Row { key: self.key, value: Bytes::from(value), version: self.version })
        }
    }

    impl CommitBody {
        /// Encodes a transaction.
        pub fn from_transaction(transaction: &Transaction) -> Self {
            let conditions = transaction.conditions.iter();
            let puts = transaction.puts.iter();
            CommitBody {
                conditions: conditions
                    .map(|condition| (condition.key.clone(), condition.version))
                    .collect(),
                puts: puts.map(|(key, value)| (key.clone(), STANDARD.encode(value))).collect(),
                deletes: transaction.deletes.clone(),
            }
        }

        /// Decodes the transaction; returns `None` if a value is not valid base64.
        pub fn into_transaction(self) -> Option<Transaction> {
            let mut puts = Vec::with_capacity(self.puts.len());
            for (key, value) in self.puts {
                puts.push((key, Bytes::from(STANDARD.decode(value).ok()?)));
            }
            let conditions = self.conditions.into_iter();
            Some(Transaction {
                conditions: conditions.map(|(key, version)| Condition { key, version }).collect(),
                puts,
                deletes: self.deletes,
            })
        }
    }
}

/// HTTP client for a platform that serves all interfaces at one address.
#[derive(Debug)]
pub struct HttpPlatform {
    client: HttpClient,
    base: String,
    timeout: Duration,
}

struct PlatformResponse {
    status: StatusCode,
    body: Bytes,
}

impl HttpPlatform {
    /// Creates a client for the platform at `address` (`ip:port`).
    ///
    /// `timeout` applies to connecting, to the response head and to the response body of each call.
    ///
    /// ```
    /// use std::time::Duration;
    /// let platform = cuminramp_platform::HttpPlatform::new("127.0.0.1:7000", Duration::from_secs(2));
    /// ```
    pub fn new(address: &str, timeout: Duration) -> Self {
        let timeouts = CallTimeouts { connect: timeout, response_head: timeout };
        HttpPlatform {
            client: HttpClient::new(timeouts),
            base: format!("http://{address}"),
            timeout,
        }
    }

    async fn call(&self, request: Request<Full<Bytes>>) -> Result<PlatformResponse, StoreError> {
        let response = self.client.send(request).await.map_err(to_store_error)?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, self.timeout)
            .await
            .map_err(|error| StoreError::Unknown(error.to_string()))?;
        // The platform returns 503 only before it has applied any part of the call.
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(StoreError::Unavailable("the platform returned status 503".into()));
        }
        if status.is_server_error() {
            return Err(StoreError::Unknown(format!("status {status}")));
        }
        Ok(PlatformResponse { status, body })
    }

    async fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<R, StoreError> {
        let bytes = serde_json::to_vec(body).map_err(invalid_request)?;
        let request = self.request(Method::POST, path, Bytes::from(bytes))?;
        let response = self.call(request).await?;
        serde_json::from_slice(&response.body)
            .map_err(|error| StoreError::Unknown(error.to_string()))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, StoreError> {
        Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(invalid_request)
    }
}

fn invalid_request(error: impl std::fmt::Display) -> StoreError {
    StoreError::Unavailable(error.to_string())
}

fn to_store_error(error: CallError) -> StoreError {
    match error {
        CallError::NotSent(reason) => StoreError::Unavailable(reason),
        CallError::ConnectionFailed(reason) | CallError::TimedOut(reason) => {
            StoreError::Unknown(reason)
        }
    }
}

fn into_rows(reply: RowsReply) -> Result<Vec<Option<Row>>, StoreError> {
    let mut rows = Vec::with_capacity(reply.rows.len());
    for body in reply.rows {
        let row = body.map(RowBody::into_row);
        if matches!(row, Some(None)) {
            return Err(StoreError::Unknown("the value of a row is not valid base64".into()));
        }
        rows.push(row.flatten());
    }
    Ok(rows)
}

#[async_trait]
impl TableStore for HttpPlatform {
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, StoreError> {
        let reply: RowsReply = self.post("/table/read", &ReadBody { keys: keys.to_vec() }).await?;
        if reply.rows.len() != keys.len() {
            return Err(StoreError::Unknown("the response has a different number of rows".into()));
        }
        into_rows(reply)
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let body = ScanBody { prefix: prefix.into(), after: after.into(), limit };
        let reply: RowsReply = self.post("/table/scan", &body).await?;
        Ok(into_rows(reply)?.into_iter().flatten().collect())
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, StoreError> {
        let body = CommitBody::from_transaction(&transaction);
        let reply: CommitReply = self.post("/table/commit", &body).await?;
        match reply.version {
            Some(version) => Ok(CommitOutcome::Committed(version)),
            None => Ok(CommitOutcome::Conflict(reply.conflicts)),
        }
    }
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        let request = self.request(Method::PUT, &format!("/objects/{name}"), body)?;
        self.call(request).await.map(drop)
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        let request = self.request(Method::GET, &format!("/objects/{name}"), Bytes::new())?;
        let response = self.call(request).await?;
        Ok(response.status.is_success().then_some(response.body))
    }

    async fn get_range(
        &self,
        name: &str,
        start: u64,
        end: u64,
    ) -> Result<Option<Bytes>, StoreError> {
        let mut request = self.request(Method::GET, &format!("/objects/{name}"), Bytes::new())?;
        let range = format!("bytes={start}-{}", end.saturating_sub(1));
        request.headers_mut().insert("range", range.parse().map_err(invalid_request)?);
        let response = self.call(request).await?;
        Ok(response.status.is_success().then_some(response.body))
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        let request = self.request(Method::DELETE, &format!("/objects/{name}"), Bytes::new())?;
        self.call(request).await.map(drop)
    }
}

#[async_trait]
impl HostList for HttpPlatform {
    async fn list(&self) -> Result<Vec<HostEntry>, StoreError> {
        let request = self.request(Method::GET, "/hosts", Bytes::new())?;
        let response = self.call(request).await?;
        let reply: HostsReply = serde_json::from_slice(&response.body)
            .map_err(|error| StoreError::Unknown(error.to_string()))?;
        let hosts = reply.hosts.into_iter();
        Ok(hosts
            .map(|host| HostEntry { address: Name::from(host.address), leaving: host.leaving })
            .collect())
    }

    async fn announce(&self, entry: &HostEntry) -> Result<(), StoreError> {
        let body = HostBody { address: entry.address.to_string(), leaving: entry.leaving };
        let bytes = serde_json::to_vec(&body).map_err(invalid_request)?;
        let request = self.request(Method::PUT, "/hosts", Bytes::from(bytes))?;
        self.call(request).await.map(drop)
    }
}
