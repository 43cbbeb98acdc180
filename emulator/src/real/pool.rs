//! Pool of client connections, with one request at a time on each.

use crate::lock;
use anyhow::Result;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio::net::TcpStream;

/// The sending half of an HTTP/1.1 connection.
type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by address.
#[derive(Default)]
pub struct Pool(Mutex<HashMap<SocketAddr, Vec<Sender>>>);

impl Pool {
    /// Sends a request on the most recently used idle connection, or on a new one, and reads the whole response. If an
    /// idle connection turns out to be closed before the response starts, the request is sent once more on a new
    /// connection.
    pub async fn send(&self, address: SocketAddr, request: Request<Full<Bytes>>) -> Result<StatusCode> {
        while let Some(sender) = self.take_idle(address) {
            if sender.is_ready() {
                match self.exchange(address, sender, request.clone()).await {
                    Err(error) if closed_without_response(&error) => break,
                    result => return result,
                }
            }
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        self.exchange(address, sender, request).await
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        lock(&self.0).remove(&address);
    }

    /// Removes an idle connection from the pool.
    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        lock(&self.0).get_mut(&address)?.pop()
    }

    /// Sends a request on a connection, and returns the connection to the pool after the response.
    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<StatusCode> {
        let response = sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        // The connection becomes ready shortly after the last byte, unless it is to be closed.
        if sender.ready().await.is_ok() {
            lock(&self.0).entry(address).or_default().push(sender);
        }
        Ok(status)
    }
}

/// Returns whether the connection was closed before a response arrived.
fn closed_without_response(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<hyper::Error>();
    error.is_some_and(|error| error.is_canceled() || error.is_closed() || error.is_incomplete_message())
}
