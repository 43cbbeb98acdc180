//! Moves the head of a request into memory of its own.
//!
//! The values of a head that hyper has parsed refer to its read buffer, and would keep the whole buffer for as long as the
//! request is open.

use bytes::{Bytes, BytesMut};
use hyper::Uri;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;

/// Copies the target and the header values of a request into one buffer of exactly their size.
pub fn detach_from_read_buffer(head: &mut Parts) {
    if let Ok(target) = Uri::try_from(head.uri.to_string()) {
        head.uri = target;
    }
    head.headers = copy_headers(&head.headers);
}

/// A copy of these headers whose values share one buffer.
fn copy_headers(headers: &HeaderMap) -> HeaderMap {
    let length = headers.values().map(HeaderValue::len).sum();
    let mut buffer = BytesMut::with_capacity(length);
    headers.values().for_each(|value| buffer.extend_from_slice(value.as_bytes()));
    let mut values = buffer.freeze();
    let mut copies = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let copy = copy_value(value, values.split_to(value.len()));
        copies.append(name, copy);
    }
    copies
}

/// The value with these bytes, which are equal to its own.
fn copy_value(value: &HeaderValue, bytes: Bytes) -> HeaderValue {
    let mut copy = HeaderValue::from_maybe_shared(bytes).unwrap_or_else(|_| value.clone());
    copy.set_sensitive(value.is_sensitive());
    copy
}
