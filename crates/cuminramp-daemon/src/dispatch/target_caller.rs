//! Calls targets over HTTP, each with a pool of connections of its own.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use cuminramp_core::{Name, SortedMap};
use cuminramp_http::{CallError, CallLimits, HttpClient};
use futures_util::StreamExt;
use http::Request;
use http_body_util::{BodyStream, Full};

use crate::interfaces::{TargetAnswer, TargetBody, TargetCaller, TargetRequest};
use crate::state::lock;

/// Calls targets over HTTP.
pub(crate) struct HttpTargets {
    limits: CallLimits,
    clients: Mutex<SortedMap<Name, Arc<HttpClient>>>,
}

impl HttpTargets {
    pub(crate) fn new(limits: CallLimits) -> Self {
        HttpTargets { limits, clients: Mutex::default() }
    }

    fn client(&self, address: &str) -> Arc<HttpClient> {
        let mut clients = lock(&self.clients);
        let make = || Arc::new(HttpClient::new(self.limits));
        if let Some(client) = clients.get(address) {
            return client.clone();
        }
        clients.get_or_insert_with(address.into(), make).clone()
    }
}

#[async_trait]
impl TargetCaller for HttpTargets {
    async fn call(
        &self,
        address: &str,
        request: TargetRequest,
        first_byte: Duration,
    ) -> Result<TargetAnswer, CallError> {
        let mut built = Request::builder()
            .method(request.method)
            .uri(format!("http://{address}{}", request.path))
            .body(Full::new(request.body))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        *built.headers_mut() = request.headers;
        let response = self.client(address).send_within(built, first_byte).await?;
        let (head, body) = response.into_parts();
        let frames = BodyStream::new(body).filter_map(|frame| async move {
            match frame {
                Ok(frame) => frame.into_data().ok().map(Ok),
                Err(error) => Some(Err(CallError::Broken(error.to_string()))),
            }
        });
        let body: TargetBody = Box::pin(frames);
        Ok(TargetAnswer { status: head.status, headers: head.headers, body })
    }

    fn drop_connections(&self, address: &str) {
        self.client(address).drop_pool();
    }
}
