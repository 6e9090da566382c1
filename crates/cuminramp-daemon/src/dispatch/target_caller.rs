//! Calls targets over HTTP with a separate connection pool for each address.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use cuminramp_core::{Name, SortedMap};
use cuminramp_http::{CallError, CallTimeouts, HttpClient};
use futures_util::StreamExt;
use http::Request;
use http_body_util::{BodyStream, Full};

use crate::interfaces::{TargetCaller, TargetRequest, TargetResponse, TargetResponseBody};
use crate::state::lock;

/// HTTP client for targets.
///
/// Each address has its own connection pool, so the connections to one silent target can be dropped without
/// affecting the others.
pub(crate) struct HttpTargets {
    timeouts: CallTimeouts,
    clients: Mutex<SortedMap<Name, Arc<HttpClient>>>,
}

impl HttpTargets {
    pub(crate) fn new(timeouts: CallTimeouts) -> Self {
        HttpTargets { timeouts, clients: Mutex::default() }
    }

    /// Returns the client for an address, and creates it on first use.
    fn client(&self, address: &str) -> Arc<HttpClient> {
        let mut clients = lock(&self.clients);
        let new_client = || Arc::new(HttpClient::new(self.timeouts));
        if let Some(client) = clients.get(address) {
            return client.clone();
        }
        clients.get_or_insert_with(address.into(), new_client).clone()
    }
}

#[async_trait]
impl TargetCaller for HttpTargets {
    async fn call(
        &self,
        address: &str,
        request: TargetRequest,
        first_byte_timeout: Duration,
    ) -> Result<TargetResponse, CallError> {
        let mut outgoing = Request::builder()
            .method(request.method)
            .uri(format!("http://{address}{}", request.path))
            .body(Full::new(request.body))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        *outgoing.headers_mut() = request.headers;
        let response = self.client(address).send_with_timeout(outgoing, first_byte_timeout).await?;
        let (head, body) = response.into_parts();
        let frames = BodyStream::new(body).filter_map(|frame| async move {
            match frame {
                Ok(frame) => frame.into_data().ok().map(Ok),
                Err(error) => Some(Err(CallError::ConnectionFailed(error.to_string()))),
            }
        });
        let body: TargetResponseBody = Box::pin(frames);
        Ok(TargetResponse { status: head.status, headers: head.headers, body })
    }

    fn drop_connections(&self, address: &str) {
        self.client(address).discard_pool();
    }
}
