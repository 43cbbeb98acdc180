//! Connections that clients keep: one call at a time on each.

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

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by address.
#[derive(Default)]
pub struct Pool(Mutex<HashMap<SocketAddr, Vec<Sender>>>);

impl Pool {
    /// Sends a call on the connection that was used last, or on a new one, and waits for its whole answer. Where
    /// one that was kept is closed before it is answered, the call goes once more over a new one.
    pub async fn send(&self, address: SocketAddr, request: Request<Full<Bytes>>) -> Result<StatusCode> {
        while let Some(sender) = self.idle(address) {
            if sender.is_ready() {
                match self.exchange(address, sender, request.clone()).await {
                    Err(error) if is_closed(&error) => break,
                    done => return done,
                }
            }
        }
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(tcp)).await?;
        tokio::spawn(connection);
        self.exchange(address, sender, request).await
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        lock(&self.0).remove(&address);
    }

    fn idle(&self, address: SocketAddr) -> Option<Sender> {
        lock(&self.0).get_mut(&address)?.pop()
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<StatusCode> {
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        // It is ready again a moment after the last byte, unless it is to be closed.
        if sender.ready().await.is_ok() {
            lock(&self.0).entry(address).or_default().push(sender);
        }
        Ok(status)
    }
}

/// Whether a connection was closed before anything of an answer came.
fn is_closed(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<hyper::Error>();
    error.is_some_and(|error| error.is_canceled() || error.is_closed() || error.is_incomplete_message())
}
