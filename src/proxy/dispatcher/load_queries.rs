//! Load queries, where the settings allow them.

use super::{Dispatcher, LOAD_QUERY_TIMEOUT, attempts::forwarded, attempts::load_report};
use crate::proxy::body::request_body::RequestBody;
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::upstream::exchange::{AttemptResult, ExchangeOutcome, exchange};
use balancer::decision::{AttemptOutcome, EndpointId, Event};
use hyper::{Request, Uri};
use tokio::time::{Instant, timeout};

impl Dispatcher {
    pub(super) fn query_load(&mut self, endpoint: EndpointId) {
        let Some(address) = self.endpoints.get(&endpoint).and_then(|upstream| upstream.address) else {
            return;
        };
        let Some(connection_source) = self.idle.acquire(endpoint) else { return }; // the module does not wait for a probe's end
        let mut request = Request::new(RequestBody::default());
        *request.uri_mut() = Uri::from_static("/load");
        let request = forwarded(&request, address);
        let exchange = exchange(
            request,
            self.means(connection_source, address, Instant::now() + LOAD_QUERY_TIMEOUT, None),
        );
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let finished = match timeout(LOAD_QUERY_TIMEOUT, exchange).await {
                Ok(ExchangeOutcome::Ended(finished) | ExchangeOutcome::ClientDisconnected(finished)) => {
                    finished
                }
                Ok(ExchangeOutcome::ResponseStarted(_)) => AttemptOutcome::Error.into(), // no figures are so long
                Err(_) => AttemptOutcome::Timeout.into(),
            };
            messages.send(DispatcherMessage::LoadQueryEnded(endpoint, finished)).ok();
        });
    }

    pub(super) fn on_load_query_ended(&mut self, endpoint: EndpointId, finished: AttemptResult) {
        if let Some(connection) = finished.connection.filter(|_| self.endpoints.contains_key(&endpoint)) {
            self.idle.release(endpoint, connection);
        }
        let load = finished
            .response
            .and_then(|response| load_report(response.body(), &self.config.names.report_fields));
        self.tell(Event::LoadQueryEnded(endpoint, finished.outcome, load));
    }
}
