//! Responses that the balancer generates, and the removal of hop-by-hop headers.

use crate::proxy::body::response_body::ResponseBody;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, DATE, EXPECT, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Retry-After for requests that are rejected before they are dispatched.
pub const REJECTION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A response without a body.
pub fn empty_response(code: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::default());
    *response.status_mut() = code;
    response
}

/// A rejection with a Retry-After header, which is omitted if `retry_after` is zero.
pub fn rejection(retry_after: Duration) -> Response<ResponseBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after > Duration::ZERO
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Removes the headers that concern only one connection, including those that `Connection` lists, and load reports,
/// which are meant for the balancer.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let hop_by_hop = [CONNECTION, CONTENT_LENGTH, DATE, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    let others = ["keep-alive", "proxy-connection", "x-load-report"].map(HeaderName::from_static);
    for name in hop_by_hop.into_iter().chain(others).chain(listed) {
        headers.remove(name);
    }
}
