//! Load queries, where the settings allow them.

use super::{Driver, PROBE_PATIENCE, attempts::forwarded, attempts::load_report};
use crate::proxy::body::request_body::RequestBody;
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::upstream::exchange::{AttemptResult, ExchangeOutcome, exchange};
use balancer::decision::{AttemptOutcome, EndpointId, Event};
use hyper::{Request, Uri};
use tokio::time::{Instant, timeout};

impl Driver {
    pub(super) fn probe(&mut self, server: EndpointId) {
        let Some(address) = self.servers.get(&server).and_then(|upstream| upstream.address) else { return };
        let Some(connection_source) = self.idle.acquire(server) else { return }; // the module does not wait for a probe's end
        let mut request = Request::new(RequestBody::default());
        *request.uri_mut() = Uri::from_static("/load");
        let request = forwarded(&request, address);
        let exchange =
            exchange(request, self.means(connection_source, address, Instant::now() + PROBE_PATIENCE, None));
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let finished = match timeout(PROBE_PATIENCE, exchange).await {
                Ok(ExchangeOutcome::Ended(finished) | ExchangeOutcome::ClientDisconnected(finished)) => {
                    finished
                }
                Ok(ExchangeOutcome::ResponseStarted(_)) => AttemptOutcome::Error.into(), // no figures are so long
                Err(_) => AttemptOutcome::Timeout.into(),
            };
            inputs.send(DispatcherMessage::LoadQueryEnded(server, finished)).ok();
        });
    }

    pub(super) fn on_probed(&mut self, server: EndpointId, finished: AttemptResult) {
        if let Some(connection) = finished.connection.filter(|_| self.servers.contains_key(&server)) {
            self.idle.put(server, connection);
        }
        let load = finished
            .response
            .and_then(|response| load_report(response.body(), &self.config.names.report_fields));
        self.tell(Event::LoadQueryEnded(server, finished.outcome, load));
    }
}
