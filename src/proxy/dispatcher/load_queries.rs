//! Load queries to endpoints, which the decision module requests if the settings allow them.

use super::{Dispatcher, LOAD_QUERY_TIMEOUT, attempts::parse_load_report, attempts::upstream_request};
use crate::proxy::body::request_body::RequestBody;
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::upstream::exchange::{AttemptResult, ExchangeOutcome, exchange};
use balancer::decision::{AttemptOutcome, EndpointId, Event};
use hyper::{Request, Uri};
use tokio::time::{Instant, timeout};

impl Dispatcher {
    /// Sends a load query to an endpoint, unless its address is not known or no connection may be opened.
    pub(super) fn query_load(&mut self, endpoint: EndpointId) {
        let Some(address) = self.endpoints.get(&endpoint).and_then(|upstream| upstream.address) else {
            return;
        };
        // If no connection may be opened, no end is reported: the decision module does not wait for a load query.
        let Some(connection_source) = self.idle_pool.acquire(endpoint) else { return };
        let mut request = Request::new(RequestBody::default());
        *request.uri_mut() = Uri::from_static("/load");
        let request = upstream_request(&request, address);
        let exchange = exchange(
            request,
            self.exchange_context(connection_source, address, Instant::now() + LOAD_QUERY_TIMEOUT, None),
        );
        let dispatcher_sender = self.dispatcher_sender.clone();
        tokio::spawn(async move {
            let result = match timeout(LOAD_QUERY_TIMEOUT, exchange).await {
                Ok(ExchangeOutcome::Ended(result) | ExchangeOutcome::ClientDisconnected(result)) => result,
                // A valid load report is never too long to be buffered.
                Ok(ExchangeOutcome::ResponseStarted(_)) => AttemptOutcome::Error.into(),
                Err(_) => AttemptOutcome::Timeout.into(),
            };
            dispatcher_sender.send(DispatcherMessage::LoadQueryEnded(endpoint, result)).ok();
        });
    }

    /// Passes the result of a load query to the decision module, and keeps its connection for reuse.
    pub(super) fn on_load_query_ended(&mut self, endpoint: EndpointId, result: AttemptResult) {
        if let Some(connection) = result.connection.filter(|_| self.endpoints.contains_key(&endpoint)) {
            self.idle_pool.release(endpoint, connection);
        }
        let load = result.response.and_then(|response| {
            parse_load_report(response.body(), &self.config.proxy_settings.report_fields)
        });
        self.handle_event(Event::LoadQueryEnded(endpoint, result.outcome, load));
    }
}
